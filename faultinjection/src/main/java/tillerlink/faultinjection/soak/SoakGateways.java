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

/** The gateway processes of a soak run with their configurations, started as in production. */
final class SoakGateways {
  /** The exit codes of processes that a signal ended: 128 plus the number of the signal. */
  private static final int TERMINATED = 143;

  private static final int KILLED = 137;
  private static final double READY_TIMEOUT_MS = 60_000;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long POLL_INTERVAL_MS = 20;

  /** The time after SIGTERM during which clients still open connections. */
  private static final double CLIENTS_AFTER_SIGTERM_MS = 250;

  /** Texts in the log of a gateway that report a violated invariant or a crash. */
  private static final List<String> FAILURE_MARKERS =
      List.of(
          "invariant violated",
          "internal error",
          "an internal fault",
          "Exception in thread",
          "died");

  /** A gateway with its present process. Times are milliseconds on the clock of the run. */
  private static final class Gateway {
    private final String name;
    private final int port = Ports.free();
    private final ControlledProcess process;

    /** The interval in which clients connect to the gateway; none while it is down. */
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

  /** The ports of the engines; each gateway reaches an engine at its own port. */
  private final PortOf ports;

  /** A mapping from engines and gateways to ports. */
  interface PortOf {
    /** Returns the port at which a gateway reaches an engine. */
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

  /**
   * Returns a number that increases with each start and kill of the gateway. Requests sent under an
   * earlier number may stay without a response.
   */
  int incarnation(int gateway) {
    return gateways.get(gateway).incarnation.get();
  }

  /** Returns whether clients connect to the gateway now. */
  boolean serves(int gateway) {
    Gateway instance = gateways.get(gateway);
    double now = clock.now();
    return now >= instance.servesFrom && now < instance.servesUntil;
  }

  boolean isRunning(int gateway) {
    return gateways.get(gateway).process.isRunning();
  }

  // ---- start ----

  /** Starts a process of the gateway, without waiting until it is ready. */
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

  /**
   * Waits until the gateway is healthy, from when on clients connect to it.
   *
   * @throws IOException if its process ends or it is not healthy within 60 s; the message contains
   *     its log
   */
  void awaitReady(int gateway) throws IOException {
    Gateway instance = gateways.get(gateway);
    double deadline = clock.now() + READY_TIMEOUT_MS;
    while (!new HttpEndpointClient(instance.port, (long) READY_TIMEOUT_MS).healthy()) {
      if (!instance.process.isAlive() || clock.now() > deadline) {
        oracle.inside(instance.name + " did not become healthy");
        throw new IOException(
            instance.name + " did not become healthy; its log: " + Files.readString(log(gateway)));
      }
      pause(POLL_INTERVAL_MS);
    }
    instance.servesFrom = clock.now();
  }

  /** Writes the gateway's configuration with the present endpoint list, atomically. */
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

  /** Returns the entry of an engine as JSON, with the port at which the gateway reaches it. */
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
    // On a reload a process takes over only the port of the discovery service, not the list.
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
    // Incremented before the kill, because clients see their connections end at once.
    instance.incarnation.incrementAndGet();
    instance.process.kill();
    oracle.interrupted(gateway, clock.now());
  }

  /**
   * Sends SIGTERM, after which clients still connect for a short time, and waits until the process
   * has ended. Reports a violation if its exit code is not that of SIGTERM.
   */
  void terminate(int gateway) throws IOException {
    Gateway instance = gateways.get(gateway);
    instance.servesUntil = clock.now() + CLIENTS_AFTER_SIGTERM_MS;
    instance.process.terminate();
    int exit = instance.process.exitValue();
    if (exit != TERMINATED) {
      oracle.inside(
          instance.name + " ended with exit code " + exit + " on SIGTERM, expected " + TERMINATED);
    }
  }

  /** Reports processes that ended without SIGTERM or SIGKILL. */
  void reportCrashes() {
    for (Gateway instance : gateways) {
      int exit = instance.process.exitValue();
      if (exit != ControlledProcess.NONE && exit != TERMINATED && exit != KILLED) {
        oracle.inside(instance.name + " ended with exit code " + exit);
      }
    }
  }

  /** Reports violations that the processes log, count in a metric, or show on SIGTERM. */
  void reportInside() throws IOException {
    for (int i = 0; i < gateways.size(); i++) {
      Gateway instance = gateways.get(i);
      instance.process.terminationFailures().forEach(oracle::inside);
      for (String line : Files.readString(log(i)).split("\n", -1)) {
        if (FAILURE_MARKERS.stream().anyMatch(line::contains)) {
          oracle.inside(instance.name + " logged: " + line.strip());
        }
      }
      if (instance.process.isRunning()) {
        for (String line :
            new HttpEndpointClient(instance.port, (long) READY_TIMEOUT_MS)
                .get("/metrics")
                .body()
                .split("\n", -1)) {
          if (line.startsWith("tillerlink_invariant_violations_total") && !line.endsWith(" 0")) {
            oracle.inside(instance.name + " reports the metric " + line);
          }
        }
      }
    }
  }

  void close() {
    gateways.forEach(instance -> instance.process.kill());
  }

  /** Returns whether a loopback port accepts connections. */
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
