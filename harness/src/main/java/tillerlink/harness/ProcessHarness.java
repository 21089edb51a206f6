package tillerlink.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.fakes.DiscoveryResponse;
import tillerlink.fleet.EngineKind;
import tillerlink.model.Engine.Status;
import tillerlink.net.lifecycle.WallClock;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.replay.ArrivalSource;
import tillerlink.replay.ReplayClients;
import tillerlink.replay.ReplayConfig;
import tillerlink.replay.ReplayMetrics;
import tillerlink.replay.ReplayResult;
import tillerlink.replay.RequestEncoder;
import tillerlink.workload.Arrival;

/**
 * Replays a trace in real time over loopback sockets, through gateway processes. One thread owns
 * engines, clients and auditor; the threads of the sockets only post to its queue. The load is open
 * loop: it keeps the times of the trace, and how late requests were sent is measured.
 */
public final class ProcessHarness implements AutoCloseable {
  // Times in tenths of a millisecond.
  private static final long LOOKAHEAD = 10_000;
  private static final long POLL_INTERVAL = 500;
  private static final long START_DELAY = 2000;
  private static final long SETTLING_TIME = 10_000;
  private static final long PROGRESS_INTERVAL = 10_000;
  private static final long MAX_LAG = 600_000;

  private final ReplayConfig config;
  private final WallClock clock = new WallClock();
  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
  private final Auditor auditor;
  private final EmulatedCluster cluster;
  private final EngineSockets engines;
  private final NameSockets discovery;
  private final ClientSockets transport;
  private final Path folder;
  private final GatewayProcess[] gateways;
  private final Random seeds;
  private final Histogram lag = new Histogram(1, MAX_LAG, 2);
  private long listVersion = 1;
  private List<EndpointEntry> lastList;

  private ProcessHarness(ReplayConfig config, Path store) throws IOException {
    this.config = config;
    int count = config.fleet().gateways();
    seeds = new Random(config.seed());
    auditor = new Auditor(config.fleet(), config.requestClasses());
    cluster = new EmulatedCluster(config.fleet(), config.requestClasses(), auditor, clock.now());
    engines = new EngineSockets(cluster, queue::add);
    cluster.onEngine(engines::open);
    lastList = cluster.list();
    discovery = new NameSockets(count, queue::add, this::respond);
    folder = Files.createTempDirectory("tillerlink-harness-");
    InetSocketAddress[] addresses = new InetSocketAddress[count];
    gateways = new GatewayProcess[count];
    for (int i = 0; i < count; i++) {
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        addresses[i] = (InetSocketAddress) free.getLocalSocketAddress();
      }
      gateways[i] =
          new GatewayProcess(
              folder,
              "n" + i,
              addresses[i],
              config.fleet().kinds().stream()
                  .filter(EngineKind::http2)
                  .map(EngineKind::name)
                  .toList(),
              store);
    }
    transport = new ClientSockets(addresses, queue::add);
  }

  /**
   * Runs a replay.
   *
   * @param progress called from time to time with the number of requests that have arrived
   */
  public static ReplayResult play(
      ReplayConfig config, ArrivalSource arrivals, LongConsumer progress) throws IOException {
    return play(config, arrivals, progress, null, cluster -> {});
  }

  /**
   * Runs a replay on a cluster that is prepared first.
   *
   * @param progress called from time to time with the number of requests that have arrived
   * @param store the folder in which gateways store what outlives them, or null
   * @param preparation changes the cluster before any gateway starts
   */
  public static ReplayResult play(
      ReplayConfig config,
      ArrivalSource arrivals,
      LongConsumer progress,
      Path store,
      Consumer<EmulatedCluster> preparation)
      throws IOException {
    try (ProcessHarness harness = new ProcessHarness(config, store)) {
      preparation.accept(harness.cluster);
      harness.startGateways();
      return harness.run(arrivals, progress);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  // ---- gateways ----

  /** Runs the event loop while they start, because they query the discovery service. */
  private void startGateways() throws IOException, InterruptedException {
    for (int i = 0; i < gateways.length; i++) {
      start(i);
    }
    for (int i = 0; i < gateways.length; i++) {
      int gateway = i;
      Thread waiting = waitUntilReady(gateway);
      while (waiting.isAlive()) {
        runEvents(clock.now() + POLL_INTERVAL);
      }
      if (!transport.isUp(gateway)) {
        runEvents(clock.now());
      }
      if (!transport.isUp(gateway)) {
        gateways[gateway].awaitReady();
        transport.setUp(gateway, true);
      }
    }
  }

  private Thread waitUntilReady(int gateway) {
    Thread waiting =
        new Thread(
            () -> {
              try {
                gateways[gateway].awaitReady();
                queue.add(() -> transport.setUp(gateway, true));
              } catch (IOException e) {
                // Clients find it down.
              }
            },
            "ready-" + gateway);
    waiting.setDaemon(true);
    waiting.start();
    return waiting;
  }

  private void start(int gateway) throws IOException {
    boolean discoveryDown = cluster.isDiscoveryDown();
    if (!discoveryDown) {
      auditNotReady(gateway);
    }
    gateways[gateway].start(
        seeds.nextLong(),
        discovery.address(gateway),
        config.fleet().sockets(),
        config.fleet().settings(config.requestClasses(), gateway),
        discoveryDown ? 0 : listVersion(),
        discoveryDown ? List.of() : endpointsFor(gateway));
  }

  private void onKilled(int gateway) {
    transport.setUp(gateway, false);
    gateways[gateway].kill();
  }

  private void restart(int gateway) {
    try {
      start(gateway);
      waitUntilReady(gateway);
    } catch (IOException e) {
      throw new IllegalStateException(
          "gateway n" + gateway + " can't be started again: " + e.getMessage(), e);
    }
  }

  // ---- the discovery service ----

  private byte[] respond(int gateway, byte[] query) {
    if (cluster.isDiscoveryDown()) {
      return null;
    }
    auditNotReady(gateway);
    int id = query.length < 2 ? 0 : (query[0] & 255) << 8 | (query[1] & 255);
    return DiscoveryResponse.of(id, listVersion(), endpointsFor(gateway));
  }

  private long listVersion() {
    List<EndpointEntry> now = cluster.list();
    if (!now.equals(lastList)) {
      lastList = now;
      listVersion++;
    }
    return listVersion;
  }

  /** The endpoint list of one gateway, with the ports at which it reaches the engines. */
  private List<EndpointEntry> endpointsFor(int gateway) {
    return cluster.list().stream()
        .map(
            entry -> {
              InetSocketAddress port = engines.port(entry.id(), gateway);
              return new EndpointEntry(
                  entry.id(),
                  port.getAddress().getHostAddress(),
                  port.getPort(),
                  entry.zone(),
                  entry.kind(),
                  entry.cell(),
                  entry.standing(),
                  entry.weight(),
                  entry.startedMs());
            })
        .toList();
  }

  private void auditNotReady(int gateway) {
    for (EndpointEntry entry : cluster.list()) {
      if (entry.standing() != Status.READY) {
        auditor.onEndpointWithdrawn(cluster.now(), gateway, entry.id());
      }
    }
  }

  // ---- the run ----

  private ReplayResult run(ArrivalSource arrivals, LongConsumer progress)
      throws IOException, InterruptedException {
    long start = clock.now() + START_DELAY;
    cluster.timeline.follow(clock.now());
    ReplayMetrics metrics = new ReplayMetrics(config.requestClasses());
    ReplayClients clients =
        new ReplayClients(
            cluster, transport, metrics, new RequestEncoder(config.seed(), config.estimateSigma()));
    clients.startAt(start);
    cluster.onKill(this::onKilled);
    cluster.onStart(this::restart);
    cluster.startIncidentClock(start);
    config.troubles().forEach(cluster::plan);
    Arrival next = arrivals.next();
    long progressAt = start;
    while (next != null || metrics.arrived() < arrivals.arrived() || clients.open() > 0) {
      long now = clock.now();
      while (next != null && start + next.at() <= now + LOOKAHEAD) {
        Arrival arrival = next;
        long due = start + arrival.at();
        cluster.timeline.at(due, () -> send(clients, arrival, due));
        next = arrivals.next();
      }
      runEvents(now + POLL_INTERVAL);
      if (now >= progressAt) {
        progressAt = now + PROGRESS_INTERVAL;
        progress.accept(arrivals.arrived());
      }
    }
    long lasted = clock.now() - start;
    long end = clock.now() + SETTLING_TIME;
    while (clock.now() < end) {
      runEvents(end);
    }
    metrics.end();
    return new ReplayResult(config, arrivals, cluster, auditor, metrics, start, lasted, lag);
  }

  private void send(ReplayClients clients, Arrival arrival, long due) {
    lag.recordValue(Math.min(MAX_LAG, Math.max(1, clock.now() - due)));
    clients.arrive(arrival);
  }

  /** Runs posted and due events; waits for the next one until then. */
  private void runEvents(long until) throws InterruptedException {
    cluster.timeline.follow(clock.now());
    long wait = Math.min(until, cluster.timeline.next()) - clock.now();
    Runnable event =
        wait <= 0
            ? queue.poll()
            : queue.poll(wait * WallClock.NANOS_PER_TENTH, TimeUnit.NANOSECONDS);
    for (; event != null; event = queue.poll()) {
      cluster.timeline.follow(clock.now());
      event.run();
    }
    cluster.timeline.follow(clock.now());
    engines.closeEnded();
  }

  @Override
  public void close() throws IOException {
    for (GatewayProcess gateway : gateways) {
      gateway.end();
    }
    transport.close();
    discovery.close();
    engines.close();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path file : files) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(folder);
  }
}
