package tillerlink.net.lifecycle;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import tillerlink.net.lifecycle.Loopback.Peer;

/**
 * A fake engine that responds to each attempt immediately with the same result and records when
 * attempts arrived.
 */
final class FakeEngine implements Closeable {
  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

  /**
   * An attempt that was received.
   *
   * @param receivedAt when its first line was read, as a {@link System#nanoTime} value
   * @param limitMs the time that the gateway waits for the response, as the attempt states it
   */
  record Attempt(long receivedAt, long limitMs) {}

  private final List<Attempt> attempts = new ArrayList<>();
  private final List<IoTask> heldResponses = new ArrayList<>();
  private boolean holdsResponses;
  private final String page;
  private final int pages;

  /** Creates an engine whose results are empty. */
  FakeEngine() throws IOException {
    this("", 1);
  }

  /**
   * Creates an engine.
   *
   * @param page the text of each page of a result
   * @param pages the number of pages of a result
   */
  FakeEngine(String page, int pages) throws IOException {
    this.page = page;
    this.pages = pages;
    runInBackground(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            runInBackground(() -> serve(new Peer(socket)));
          }
        });
  }

  int port() {
    return listener.getLocalPort();
  }

  private void serve(Peer peer) throws IOException {
    for (String line = peer.readLine(); line != null; line = peer.readLine()) {
      String[] words = line.split(" ", -1);
      if (words[0].equals("want")) {
        synchronized (attempts) {
          long limit = Long.parseLong(words[2].replaceAll(".*limit=([0-9]+).*", "$1"));
          attempts.add(new Attempt(System.nanoTime(), limit));
        }
        peer.readLine();
        String response = words[1] + " ok count=" + pages + " " + page.length() + "\r\n" + page;
        respond(() -> peer.send(response + "\r\n"));
      } else if (words[0].equals("turn")) {
        peer.send(
            words[1] + " batch pos=" + words[2] + " " + page.length() + "\r\n" + page + "\r\n");
      } else if (words[0].equals("there")) {
        peer.send(words[1] + " yes - 0\r\n\r\n");
      }
    }
  }

  private void respond(IoTask response) throws IOException {
    synchronized (heldResponses) {
      if (holdsResponses) {
        heldResponses.add(response);
        return;
      }
    }
    response.run();
  }

  /** Holds the responses to attempts until {@link #releaseResponses} is called. */
  void holdResponses() {
    synchronized (heldResponses) {
      holdsResponses = true;
    }
  }

  /** Sends the responses that were held, and no longer holds any. */
  void releaseResponses() throws IOException {
    synchronized (heldResponses) {
      holdsResponses = false;
      for (IoTask response : heldResponses) {
        response.run();
      }
      heldResponses.clear();
    }
  }

  /** Returns the attempts received so far, in order. */
  List<Attempt> attempts() {
    synchronized (attempts) {
      return List.copyOf(attempts);
    }
  }

  /** A task that may fail when its connection ends. */
  interface IoTask {
    void run() throws IOException;
  }

  /** Runs a task on a daemon thread and ignores the I/O error that ends it. */
  static void runInBackground(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The connection was closed, or the test has ended.
              }
            },
            "stand-in");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
