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
 * A harness that replays a trace in real time through gateway processes, over loopback sockets. One
 * thread owns the engines, the clients and the auditor; the socket threads only post to its queue.
 * The load is open-loop: requests are sent at the times of the trace, whether or not earlier ones
 * have been answered, and the delay of each request behind its due time is recorded.
 */
public final class ProcessHarness implements AutoCloseable {
  // Times in tenths of a millisecond.

  /** The lead over their due times with which requests are read from the trace and scheduled. */
  private static final long LOOKAHEAD = 10_000;

  private static final long POLL_INTERVAL = 500;
  private static final long START_DELAY = 2000;

  /** The time for which events are still processed after the last request has ended. */
  private static final long SETTLING_TIME = 10_000;

  private static final long PROGRESS_INTERVAL = 10_000;

  /** The largest delay behind a due time that the histogram distinguishes. */
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
   * @param config the fleet, the request classes and the scheduled faults
   * @param arrivals the requests of the trace
   * @param progress called about once a second with the number of requests read from the trace
   * @throws IOException if a gateway does not start, the trace cannot be read, or the thread is
   *     interrupted
   */
  public static ReplayResult play(
      ReplayConfig config, ArrivalSource arrivals, LongConsumer progress) throws IOException {
    return play(config, arrivals, progress, null, cluster -> {});
  }

  /**
   * Runs a replay on a cluster that is prepared first.
   *
   * @param config the fleet, the request classes and the scheduled faults
   * @param arrivals the requests of the trace
   * @param progress called about once a second with the number of requests read from the trace
   * @param store the folder of the store that outlives gateway processes, or null for none
   * @param preparation changes the cluster before any gateway starts
   * @throws IOException if a gateway does not start, the trace cannot be read, or the thread is
   *     interrupted
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

  /**
   * Starts all gateways and waits until they are ready. The event loop runs meanwhile, because
   * starting gateways query the discovery service.
   */
  private void startGateways() throws IOException, InterruptedException {
    for (int i = 0; i < gateways.length; i++) {
      start(i);
    }
    for (int i = 0; i < gateways.length; i++) {
      int gateway = i;
      Thread waiter = waitUntilReady(gateway);
      while (waiter.isAlive()) {
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

  /** Starts a thread that waits until a gateway is ready and then lets clients connect to it. */
  private Thread waitUntilReady(int gateway) {
    Thread waiter =
        new Thread(
            () -> {
              try {
                gateways[gateway].awaitReady();
                queue.add(() -> transport.setUp(gateway, true));
              } catch (IOException e) {
                // The gateway stays marked as down, so that clients do not connect to it.
              }
            },
            "ready-" + gateway);
    waiter.setDaemon(true);
    waiter.start();
    return waiter;
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
          "cannot restart gateway n" + gateway + ": " + e.getMessage(), e);
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

  /** Returns the version of the endpoint list, after raising it if the list has changed. */
  private long listVersion() {
    List<EndpointEntry> now = cluster.list();
    if (!now.equals(lastList)) {
      lastList = now;
      listVersion++;
    }
    return listVersion;
  }

  /** Returns the endpoint list for a gateway, with the ports at which it reaches the engines. */
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

  /** Reports to the auditor which engines a gateway now learns to be not ready. */
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

  /** Records how late a request is and passes it to the clients. */
  private void send(ReplayClients clients, Arrival arrival, long due) {
    lag.recordValue(Math.min(MAX_LAG, Math.max(1, clock.now() - due)));
    clients.arrive(arrival);
  }

  /**
   * Runs the posted and the due events, after waiting for the first of them.
   *
   * @param until when the wait ends at the latest, in tenths of a millisecond
   */
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
