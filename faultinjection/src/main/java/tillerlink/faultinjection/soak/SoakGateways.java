package tillerlink.faultinjection.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.process.ControlledProcess;
import tillerlink.faultinjection.process.Ports;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/** The gateway processes of a soak, started as in production, with their configurations. */
final class SoakGateways {
  private static final int TERMINATED = 143;
  private static final int KILLED = 137;
  private static final double READY_TIMEOUT_MS = 60_000;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long POLL_INTERVAL_MS = 20;

  /** For how long clients open connections after SIGTERM. */
  private static final double CLIENTS_AFTER_SIGTERM_MS = 250;

  private static final List<String> ILL =
      List.of(
          "invariant violated",
          "internal error",
          "an internal fault",
          "Exception in thread",
          "died");

  private static final class Gateway {
    private final String name;
    private final int port = Ports.free();
    private final ControlledProcess process;

    /** Clients connect from then on, but not while it is down. */
    private volatile double servesFrom = Double.MAX_VALUE;

    private volatile double servesUntil = Double.MAX_VALUE;
    private volatile double startedAt;
    private volatile long indexAtStart;
    private final AtomicInteger incarnation = new AtomicInteger();

    Gateway(String name) {
      this.name = name;
      process = new ControlledProcess(name);
    }
  }

  private final Path folder;
  private final String classPath;
  private final SoakDiscovery discovery;
  private final SoakOracle oracle;
  private final SoakClock clock;
  private final List<Gateway> gateways = new ArrayList<>();

  /** The ports of engines; each gateway reaches them at its own ones. */
  private final PortOf ports;

  /** The port at which a gateway reaches an engine. */
  interface PortOf {
    int port(int engine, int gateway);
  }

  SoakGateways(
      int count,
      Path folder,
      String classPath,
      SoakDiscovery discovery,
      PortOf ports,
      SoakOracle oracle,
      SoakClock clock) {
    this.folder = folder;
    this.classPath = classPath;
    this.discovery = discovery;
    this.ports = ports;
    this.oracle = oracle;
    this.clock = clock;
    for (int i = 0; i < count; i++) {
      gateways.add(new Gateway("n" + i));
    }
  }

  int count() {
    return gateways.size();
  }

  int port(int gateway) {
    return gateways.get(gateway).port;
  }

  double startedAt(int gateway) {
    return gateways.get(gateway).startedAt;
  }

  long indexAtStart(int gateway) {
    return gateways.get(gateway).indexAtStart;
  }

  /** Counts its processes: a later one does not answer requests to an earlier one. */
  int incarnation(int gateway) {
    return gateways.get(gateway).incarnation.get();
  }

  /** Whether clients connect to it now. */
  boolean serves(int gateway) {
    Gateway instance = gateways.get(gateway);
    double now = clock.now();
    return now >= instance.servesFrom && now < instance.servesUntil;
  }

  boolean isRunning(int gateway) {
    return gateways.get(gateway).process.isRunning();
  }

  // ---- start ----

  void start(int gateway) throws IOException {
    Gateway instance = gateways.get(gateway);
    instance.servesFrom = Double.MAX_VALUE;
    instance.servesUntil = Double.MAX_VALUE;
    instance.incarnation.incrementAndGet();
    configure(gateway);
    instance.startedAt = clock.now();
    oracle.started(gateway);
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xms24m",
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:CICompilerCount=1",
            "-XX:-UsePerfData",
            "-Xshare:auto",
            "-Djava.net.preferIPv4Stack=true",
            "-cp",
            classPath,
            "tillerlink.Main",
            "serve");
    builder.environment().put("EDGE_CONFIG", file(gateway).toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(gateway).toFile()));
    instance.process.start(builder);
  }

  /** Waits until it is healthy. */
  void awaitReady(int gateway) throws IOException {
    Gateway instance = gateways.get(gateway);
    double deadline = clock.now() + READY_TIMEOUT_MS;
    while (!new HttpEndpointClient(instance.port, (long) READY_TIMEOUT_MS).healthy()) {
      if (!instance.process.isAlive() || clock.now() > deadline) {
        oracle.inside(instance.name + " did not come up");
        throw new IOException(
            instance.name + " did not come up; its log: " + Files.readString(log(gateway)));
      }
      pause(POLL_INTERVAL_MS);
    }
    instance.servesFrom = clock.now();
  }

  private void configure(int gateway) throws IOException {
    Gateway instance = gateways.get(gateway);
    String entries;
    synchronized (discovery) {
      instance.indexAtStart = discovery.index();
      entries =
          discovery.list().stream()
              .map(entry -> json(entry, gateway))
              .collect(Collectors.joining(","));
    }
    String text =
        "{\"name\":\""
            + instance.name
            + "\",\"listen\":\"127.0.0.1:"
            + instance.port
            + "\",\"seed\":\""
            + Long.toHexString(0x5c1f30d2L + gateway * 7919L + instance.incarnation.get())
            + "\",\"limits\":{\"sockets\":608},\"resolver\":\"127.0.0.1:"
            + discovery.port(gateway)
            + "\",\"known\":{\"index\":"
            + instance.indexAtStart
            + ",\"updates\":[{\"index\":"
            + instance.indexAtStart
            + ",\"endpoints\":{\"snapshot\":true,\"endpoints\":["
            + entries
            + "]}}]},\"settings\":"
            + SoakSettings.settings(gateways.size(), gateway)
            + "}";
    Path newFile = folder.resolve(instance.name + ".json.new");
    Files.writeString(newFile, text);
    Files.move(
        newFile,
        file(gateway),
        StandardCopyOption.REPLACE_EXISTING,
        StandardCopyOption.ATOMIC_MOVE);
  }

  private String json(EndpointEntry entry, int gateway) {
    int engine = Integer.parseInt(entry.id().substring(1));
    String status = entry.standing() == Status.DRAINING ? "DRAINING" : "SERVING";
    return "{\"name\":\""
        + entry.id()
        + "\",\"address\":\"127.0.0.1:"
        + ports.port(engine, gateway)
        + "\",\"zone\":\""
        + entry.zone()
        + "\",\"type\":\"std\",\"group\":0,\"status\":\""
        + status
        + "\",\"weight\":1,\"since_ms\":"
        + entry.startedMs()
        + "}";
  }

  private Path file(int gateway) {
    return folder.resolve(gateways.get(gateway).name + ".json");
  }

  Path log(int gateway) {
    return folder.resolve(gateways.get(gateway).name + ".log");
  }

  // ---- faults ----

  /** Writes a configuration with the present port of the discovery service, and sends SIGHUP. */
  void reload(int gateway) throws IOException {
    Gateway instance = gateways.get(gateway);
    long index = instance.indexAtStart;
    configure(gateway);
    // A running process takes over the port of the discovery service only.
    instance.indexAtStart = index;
    instance.process.signal("HUP");
  }

  void stop(int gateway) throws IOException {
    gateways.get(gateway).process.stop();
    oracle.interrupted(gateway, Double.MAX_VALUE);
  }

  void resume(int gateway) throws IOException {
    gateways.get(gateway).process.resume();
    oracle.interrupted(gateway, clock.now());
  }

  void kill(int gateway) {
    Gateway instance = gateways.get(gateway);
    instance.servesFrom = Double.MAX_VALUE;
    // Before the kill, because clients see their connections end at once.
    instance.incarnation.incrementAndGet();
    instance.process.kill();
    oracle.interrupted(gateway, clock.now());
  }

  /** Sends SIGTERM, while clients connect for a moment more, and waits for the end. */
  void terminate(int gateway) throws IOException {
    Gateway instance = gateways.get(gateway);
    instance.servesUntil = clock.now() + CLIENTS_AFTER_SIGTERM_MS;
    instance.process.terminate();
    int exit = instance.process.exitValue();
    if (exit != TERMINATED) {
      oracle.inside(instance.name + " ended with " + exit + " on SIGTERM");
    }
  }

  /** Reports processes that ended by themselves. */
  void reportCrashes() {
    for (Gateway instance : gateways) {
      int exit = instance.process.exitValue();
      if (exit != ControlledProcess.NONE && exit != TERMINATED && exit != KILLED) {
        oracle.inside(instance.name + " ended with " + exit);
      }
    }
  }

  /** Reports violations that the processes count or log themselves. */
  void reportInside() throws IOException {
    for (int i = 0; i < gateways.size(); i++) {
      Gateway instance = gateways.get(i);
      instance.process.complaints().forEach(oracle::inside);
      for (String line : Files.readString(log(i)).split("\n", -1)) {
        if (ILL.stream().anyMatch(line::contains)) {
          oracle.inside(instance.name + " says: " + line.strip());
        }
      }
      if (instance.process.isRunning()) {
        for (String line :
            new HttpEndpointClient(instance.port, (long) READY_TIMEOUT_MS)
                .get("/metrics")
                .body()
                .split("\n", -1)) {
          if (line.startsWith("tillerlink_invariant_violations_total") && !line.endsWith(" 0")) {
            oracle.inside(instance.name + " counts: " + line);
          }
        }
      }
    }
  }

  void close() {
    gateways.forEach(instance -> instance.process.kill());
  }

  static boolean isListening(int port) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
