package tillerlink.faultinjection.engine;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import tillerlink.fakes.EngineCommandParser;
import tillerlink.fakes.EngineCommandParser.Command;

/**
 * An engine of a few lines: it answers every statement with one row, the statement itself, and
 * tells what it ran at the moment that it begins.
 */
public final class FakeEngine implements Closeable {
  private static final int PIECE = 8192;

  private final ServerSocket door = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final String name;
  private final BiConsumer<String, Command> ran;
  private final long workMs;

  /**
   * @param ran told the engine's name and each request before it is answered, from any thread
   * @param workMs how long each takes
   */
  public FakeEngine(String name, long workMs, BiConsumer<String, Command> ran) throws IOException {
    this.name = name;
    this.ran = ran;
    this.workMs = workMs;
    daemon(
        () -> {
          while (!door.isClosed()) {
            Socket socket = door.accept();
            open.add(socket);
            daemon(() -> converse(socket));
          }
        });
  }

  public int port() {
    return door.getLocalPort();
  }

  /**
   * All that can fail on a connection fails here: one that was reset as it came must not end the
   * door for all.
   */
  private void converse(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      EngineCommandParser commands = new EngineCommandParser();
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      byte[] piece = new byte[PIECE];
      for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
        commands.feed(java.util.Arrays.copyOf(piece, n));
        for (Command command = commands.next(); command != null; command = commands.next()) {
          answer(command, out);
        }
      }
    } finally {
      open.remove(socket);
    }
  }

  private void answer(Command command, OutputStream out) throws IOException {
    switch (command.word()) {
      case WANT -> {
        ran.accept(name, command);
        pause();
        String row =
            new String(command.statement(), StandardCharsets.UTF_8).replaceAll("[\\t\\n\\r]", " ")
                + "\t"
                + name
                + "\t\n";
        byte[] body = row.getBytes(StandardCharsets.UTF_8);
        say(out, command.id() + " ok count=1 " + body.length + "\r\n" + row + "\r\n");
      }
      case THERE -> say(out, command.id() + " yes - 0\r\n\r\n");
      default -> {
        // It has no further pages, and takes nothing back.
      }
    }
  }

  private static void say(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void pause() {
    try {
      Thread.sleep(workMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

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
                // The connection broke, or all is over.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    door.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
