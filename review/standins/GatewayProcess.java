import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started by `run` of deploy/balancer.toml. */
final class GatewayProcess implements AutoCloseable {
  final int port;
  private final Path folder;
  private final Path root;
  private final Path config;
  private Process process;

  GatewayProcess(Path root, Path folder) throws IOException {
    this.root = root;
    this.folder = folder;
    config = folder.resolve("configuration.json");
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    }
  }

  /** Starts the process and waits until it answers /healthz with 200. */
  void start(int resolverPort, String known, String settings) throws Exception {
    configure(resolverPort, known, settings);
    Matcher run =
        Pattern.compile("(?m)^run = \"([^\"]*)\"")
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("no run in deploy/balancer.toml");
    }
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
    builder.directory(root.toFile());
    builder.environment().put("EDGE_NAME", "n0");
    builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("EDGE_CONFIG", config.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve("gateway.log").toFile());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (true) {
      if (!process.isAlive() || System.nanoTime() > until) {
        throw new IOException("the gateway did not start");
      }
      try (Client client = new Client(port)) {
        client.send(Client.get("/healthz"));
        if (client.read(1000).status() == 200) {
          return;
        }
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
  }

  void configure(int resolverPort, String known, String settings) throws IOException {
    String text =
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
            + "\"resolver\":\"127.0.0.1:" + resolverPort + "\","
            + "\"known\":" + known + ",\"settings\":" + settings + "}";
    Files.writeString(config, text);
  }

  boolean alive() {
    return process.isAlive();
  }

  int exitCode() throws InterruptedException {
    process.waitFor(2, TimeUnit.SECONDS);
    return process.isAlive() ? -1 : process.exitValue();
  }

  /** Returns how many descriptors the process has open, or -1 if the system does not tell. */
  int descriptors() {
    String[] open = new java.io.File("/proc/" + process.pid() + "/fd").list();
    return open == null ? -1 : open.length;
  }

  void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }
}
