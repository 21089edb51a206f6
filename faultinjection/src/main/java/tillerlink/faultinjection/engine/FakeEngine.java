package tillerlink.faultinjection.engine;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import tillerlink.fakes.EngineCommandParser;
import tillerlink.fakes.EngineCommandParser.Command;

/**
 * A fake engine that answers every statement with one row, which contains the statement, and
 * reports each request when it starts to run it.
 */
public final class FakeEngine implements Closeable {
  private static final int BUFFER_BYTES = 8192;

  private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final String name;
  private final BiConsumer<String, Command> onRun;
  private final long workMs;

  /**
   * Starts an engine on a free port of the loopback interface.
   *
   * @param workMs the run time of each request, in milliseconds
   * @param onRun called on any thread with the name of the engine and each request that it runs
   */
  public FakeEngine(String name, long workMs, BiConsumer<String, Command> onRun)
      throws IOException {
    this.name = name;
    this.onRun = onRun;
    this.workMs = workMs;
    daemon(
        () -> {
          while (!listener.isClosed()) {
            Socket socket = listener.accept();
            openSockets.add(socket);
            daemon(() -> serve(socket));
          }
        });
  }

  /** Returns the port on which the engine listens. */
  public int port() {
    return listener.getLocalPort();
  }

  /**
   * Serves one connection on its own thread, so that a connection that is reset at once does not
   * stop the listener.
   */
  private void serve(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      EngineCommandParser commands = new EngineCommandParser();
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        commands.feed(Arrays.copyOf(buffer, count));
        for (Command command = commands.next(); command != null; command = commands.next()) {
          answer(command, out);
        }
      }
    } finally {
      openSockets.remove(socket);
    }
  }

  private void answer(Command command, OutputStream out) throws IOException {
    switch (command.word()) {
      case WANT -> {
        onRun.accept(name, command);
        simulateWork();
        String row =
            new String(command.statement(), StandardCharsets.UTF_8).replaceAll("[\\t\\n\\r]", " ")
                + "\t"
                + name
                + "\t\n";
        byte[] body = row.getBytes(StandardCharsets.UTF_8);
        write(out, command.id() + " ok count=1 " + body.length + "\r\n" + row + "\r\n");
      }
      case THERE -> write(out, command.id() + " yes - 0\r\n\r\n");
      default -> {
        // Results have a single page, and requests are never cancelled.
      }
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void simulateWork() {
    try {
      Thread.sleep(workMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The body of a thread; its exceptions end only that thread. */
  private interface Work {
    void run() throws IOException;
  }

  private void daemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException | IllegalArgumentException e) {
                // The connection broke, or the engine was closed.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }
}
