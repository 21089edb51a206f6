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
import java.util.stream.Collectors;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.process.ControlledProcess;
import tillerlink.faultinjection.process.Ports;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * The gateways of a soak as processes, started as the platform starts them, with their
 * configurations.
 */
final class SoakGateways {
  private static final int TERMINATED = 143;
  private static final int KILLED = 137;
  private static final double READY_MS = 60_000;
  private static final long PAUSE_MS = 20;

  /** New connections come for so long after SIGTERM. */
  private static final double STILL_COMING_MS = 250;

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

    /** Clients may come from then on; not while it is down. */
    private volatile double servesFrom = Double.MAX_VALUE;

    private volatile double servesUntil = Double.MAX_VALUE;
    private volatile double startedAt;
    private volatile long indexAtStart;
    private volatile int life;

    Gateway(String name) {
      this.name = name;
      process = new ControlledProcess(name);
    }
  }

  private final Path folder;
  private final String classPath;
  private final SoakNames names;
  private final SoakOracle oracle;
  private final SoakClock clock;
  private final List<Gateway> gateways = new ArrayList<>();

  /**
   * How an entry of the list is written for a gateway, since each reaches engines at ports of its
   * own.
   */
  private final PortOf ports;

  /** The port at which a gateway reaches an engine. */
  interface PortOf {
    int port(int engine, int gateway);
  }

  SoakGateways(
      int count,
      Path folder,
      String classPath,
      SoakNames names,
      PortOf ports,
      SoakOracle oracle,
      SoakClock clock) {
    this.folder = folder;
    this.classPath = classPath;
    this.names = names;
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

  /** Counts its processes; what was handed to an earlier one is not owed by a later. */
  int life(int gateway) {
    return gateways.get(gateway).life;
  }

  /** Whether clients come to it now. */
  boolean serves(int gateway) {
    Gateway one = gateways.get(gateway);
    double now = clock.now();
    return now >= one.servesFrom && now < one.servesUntil;
  }

  boolean isRunning(int gateway) {
    return gateways.get(gateway).process.isRunning();
  }

  // ---- start and end ----

  void start(int gateway) throws IOException {
    Gateway one = gateways.get(gateway);
    one.servesFrom = Double.MAX_VALUE;
    one.servesUntil = Double.MAX_VALUE;
    one.life++;
    configure(gateway);
    one.startedAt = clock.now();
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
    one.process.start(builder);
  }

  /** Waits until it answers that it is well; a machine that is busy only makes this longer. */
  void awaitReady(int gateway) throws IOException {
    Gateway one = gateways.get(gateway);
    double until = clock.now() + READY_MS;
    while (!new HttpEndpointClient(one.port, (long) READY_MS).healthy()) {
      if (!one.process.isAlive() || clock.now() > until) {
        oracle.inside(one.name + " did not come up");
        throw new IOException(
            one.name + " did not come up; its log: " + Files.readString(log(gateway)));
      }
      pause(PAUSE_MS);
    }
    one.servesFrom = clock.now();
  }

  private void configure(int gateway) throws IOException {
    Gateway one = gateways.get(gateway);
    String entries;
    synchronized (names) {
      one.indexAtStart = names.index();
      entries =
          names.list().stream().map(entry -> json(entry, gateway)).collect(Collectors.joining(","));
    }
    String text =
        "{\"name\":\""
            + one.name
            + "\",\"listen\":\"127.0.0.1:"
            + one.port
            + "\",\"seed\":\""
            + Long.toHexString(0x5c1f30d2L + gateway * 7919L + one.life)
            + "\",\"limits\":{\"sockets\":608},\"resolver\":\"127.0.0.1:"
            + names.port(gateway)
            + "\",\"known\":{\"index\":"
            + one.indexAtStart
            + ",\"updates\":[{\"index\":"
            + one.indexAtStart
            + ",\"endpoints\":{\"snapshot\":true,\"endpoints\":["
            + entries
            + "]}}]},\"settings\":"
            + SoakTerms.settings(gateways.size(), gateway)
            + "}";
    Path fresh = folder.resolve(one.name + ".json.new");
    Files.writeString(fresh, text);
    Files.move(
        fresh, file(gateway), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
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

  /** A new configuration with where the discovery service is now, and SIGHUP. */
  void reload(int gateway) throws IOException {
    Gateway one = gateways.get(gateway);
    long index = one.indexAtStart;
    configure(gateway);
    // Only where the discovery service is changes for a process that runs.
    one.indexAtStart = index;
    one.process.signal("HUP");
  }

  void stop(int gateway) throws IOException {
    gateways.get(gateway).process.stop();
    oracle.interrupted(gateway, Double.MAX_VALUE);
  }

  void goOn(int gateway) throws IOException {
    gateways.get(gateway).process.goOn();
    oracle.interrupted(gateway, clock.now());
  }

  void kill(int gateway) {
    Gateway one = gateways.get(gateway);
    one.servesFrom = Double.MAX_VALUE;
    // Before it is killed: clients see their connections end at once.
    one.life++;
    one.process.kill();
    oracle.interrupted(gateway, clock.now());
  }

  /** SIGTERM; clients come for a moment more, and the end is waited for. */
  void terminate(int gateway) throws IOException {
    Gateway one = gateways.get(gateway);
    one.servesUntil = clock.now() + STILL_COMING_MS;
    one.process.terminate();
    int exit = one.process.exitValue();
    if (exit != TERMINATED) {
      oracle.inside(one.name + " ended with " + exit + " on SIGTERM");
    }
  }

  /** Whether any ended by itself. */
  void lookForCrashes() {
    for (Gateway one : gateways) {
      int exit = one.process.exitValue();
      if (exit != ControlledProcess.NONE && exit != TERMINATED && exit != KILLED) {
        oracle.inside(one.name + " ended with " + exit);
      }
    }
  }

  /** What the processes say of themselves: their counters of violations, and their logs. */
  void lookInside() throws IOException {
    for (int i = 0; i < gateways.size(); i++) {
      Gateway one = gateways.get(i);
      one.process.complaints().forEach(oracle::inside);
      for (String line : Files.readString(log(i)).split("\n")) {
        if (ILL.stream().anyMatch(line::contains)) {
          oracle.inside(one.name + " says: " + line.strip());
        }
      }
      if (one.process.isRunning()) {
        for (String line :
            new HttpEndpointClient(one.port, (long) READY_MS).get("/metrics").body().split("\n")) {
          if (line.startsWith("tillerlink_invariant_violations_total") && !line.endsWith(" 0")) {
            oracle.inside(one.name + " counts: " + line);
          }
        }
      }
    }
  }

  void close() {
    gateways.forEach(one -> one.process.kill());
  }

  static boolean listens(int port) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
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
