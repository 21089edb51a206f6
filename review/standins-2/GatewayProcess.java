package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway, started by the line `run` of the deploy file as a process of its own. */
public final class GatewayProcess implements AutoCloseable {
  public final int port;
  private final Process process;
  private final Path config;
  private final String name;
  private final String settings;
  private final String known;
  private final int sockets;

  /**
   * Starts a gateway.
   *
   * @param folder the folder of the case, for the log
   * @param temporary the folder for the configuration
   * @param settings the settings, as JSON
   * @param known the list of the start, as JSON
   */
  public GatewayProcess(
      Path folder,
      Path temporary,
      String name,
      int sockets,
      String resolver,
      String known,
      String settings)
      throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    this.name = name;
    this.sockets = sockets;
    this.settings = settings;
    this.known = known;
    config = temporary.resolve(name + ".json");
    writeConfig(resolver);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(Path.of("deploy/balancer.toml")));
    builder.environment().put("EDGE_NAME", name);
    builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("EDGE_CONFIG", config.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("gateway.log").toFile()));
    process = builder.start();
  }

  private static String runLine(Path deploy) throws IOException {
    Matcher line =
        Pattern.compile("^run = \"([^\"]*)\"", Pattern.MULTILINE).matcher(Files.readString(deploy));
    if (!line.find()) {
      throw new IOException("no line 'run' in " + deploy);
    }
    return line.group(1);
  }

  /** Writes the configuration, also a later one that names another address of the name service. */
  public void writeConfig(String resolver) throws IOException {
    Path draft = config.resolveSibling(name + ".draft");
    Files.writeString(
        draft,
        "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
            + sockets + "},\"resolver\":\"" + resolver + "\",\"known\":" + known + ",\"settings\":"
            + settings + "}");
    Files.move(draft, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
  }

  /** Waits until GET /healthz is answered with 200; returns false after 30 s. */
  public boolean awaitReady() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < end && process.isAlive()) {
      try (HttpConnection connection = new HttpConnection(port, 1000)) {
        if (connection.call("GET", "/healthz", "", "").status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Thread.sleep(50);
    }
    return false;
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  public int exitValue() {
    return process.exitValue();
  }

  /** Sends a signal to the process. */
  public void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
