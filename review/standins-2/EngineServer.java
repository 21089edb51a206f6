package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An engine that speaks the platform's lines: runs each request for a fixed time and answers with one
 * row, unless it has been given up. Closes on what it cannot read.
 */
public final class EngineServer implements AutoCloseable {
  /** Sees each request when it has come whole. */
  public interface Observer {
    /**
     * Returns the time that the request takes in milliseconds, or a negative number for no answer.
     */
    long onRequest(EngineServer engine, String id, String requestClass, String statement);
  }

  public final String id;
  private final Record record;
  private final Observer observer;
  private final ServerSocket listening;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService work =
      Executors.newScheduledThreadPool(
          1,
          task -> {
            Thread thread = new Thread(task, "engine");
            thread.setDaemon(true);
            return thread;
          });

  /** Creates an engine that listens; port 0 takes any free one. */
  public EngineServer(Record record, String id, int port, Observer observer) throws IOException {
    this.record = record;
    this.id = id;
    this.observer = observer;
    listening = new ServerSocket();
    listening.setReuseAddress(true);
    listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
    Thread thread = new Thread(this::accept, "engine-" + id);
    thread.setDaemon(true);
    thread.start();
  }

  public int port() {
    return listening.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread thread =
            new Thread(
                () -> {
                  try (socket) {
                    serve(socket);
                  } catch (IOException | RuntimeException e) {
                    // The connection has ended, or what came could not be read.
                  } finally {
                    sockets.remove(socket);
                  }
                },
                "engine-" + id);
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException e) {
      // The engine has ended.
    }
  }

  private void serve(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    Map<String, String> open = new ConcurrentHashMap<>();
    for (String line = readLine(in); line != null; line = readLine(in)) {
      String[] words = line.split(" ");
      switch (words[0]) {
        case "want" -> {
          byte[] body = in.readNBytes(Integer.parseInt(words[3]));
          if (in.read() != '\r' || in.read() != '\n') {
            return;
          }
          String statement = new String(body, StandardCharsets.UTF_8);
          String requestClass = words[2].replaceAll("^.*cls=([^,]*).*$", "$1");
          record.line("engine " + id + ": got " + words[1] + " " + words[2] + " " + statement);
          open.put(words[1], statement);
          long millis = observer.onRequest(this, words[1], requestClass, statement);
          if (millis >= 0) {
            work.schedule(
                () -> answer(out, words[1], requestClass, open), millis, TimeUnit.MILLISECONDS);
          }
        }
        case "never_mind" -> {
          record.line("engine " + id + ": never_mind " + words[1]);
          open.remove(words[1]);
        }
        case "turn" -> send(out, words[1] + " error - 0\r\n\r\n");
        case "shut" -> {}
        case "there" -> send(out, words[1] + " yes - 0\r\n\r\n");
        default -> {
          return;
        }
      }
    }
  }

  private void answer(OutputStream out, String id, String requestClass, Map<String, String> open) {
    if (open.remove(id) != null) {
      String row = this.id + "\t" + requestClass + "\t" + id + "\n";
      try {
        send(out, id + " ok count=1 " + row.length() + "\r\n" + row + "\r\n");
        record.line("engine " + this.id + ": answered " + id);
      } catch (IOException e) {
        record.line("engine " + this.id + ": no connection for the answer to " + id);
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int octet = in.read(); octet >= 0; octet = in.read()) {
      if (octet == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(octet);
    }
    return null;
  }

  private static void send(OutputStream out, String text) throws IOException {
    synchronized (out) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  /** Ends as a process that dies does: it no longer listens, and its connections are reset. */
  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It was closed just now.
      }
    }
    work.shutdownNow();
  }
}
