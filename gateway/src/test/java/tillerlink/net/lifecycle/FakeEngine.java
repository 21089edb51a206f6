package tillerlink.net.lifecycle;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import tillerlink.net.lifecycle.Loopback.Peer;

/** An engine that answers each attempt at once with no rows, and notes when attempts came. */
final class FakeEngine implements Closeable {
  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

  /**
   * An attempt that came.
   *
   * @param at when its first line was read, in nanoseconds
   * @param limitMs how long it said that the client waits
   */
  record Attempt(long at, long limitMs) {}

  private final List<Attempt> attempts = new ArrayList<>();

  FakeEngine() throws IOException {
    daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            daemon(() -> converse(new Peer(socket)));
          }
        });
  }

  int port() {
    return listener.getLocalPort();
  }

  private void converse(Peer peer) throws IOException {
    for (String line = peer.readLine(); line != null; line = peer.readLine()) {
      String[] words = line.split(" ", -1);
      if (words[0].equals("want")) {
        synchronized (attempts) {
          long limit = Long.parseLong(words[2].replaceAll(".*limit=([0-9]+).*", "$1"));
          attempts.add(new Attempt(System.nanoTime(), limit));
        }
        peer.readLine();
        peer.send(words[1] + " ok count=1 0\r\n\r\n");
      } else if (words[0].equals("there")) {
        peer.send(words[1] + " yes - 0\r\n\r\n");
      }
    }
  }

  List<Attempt> attempts() {
    synchronized (attempts) {
      return List.copyOf(attempts);
    }
  }

  /** Work that may fail when its connection ends. */
  interface Work {
    void run() throws IOException;
  }

  static void daemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The connection or the test has ended.
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
