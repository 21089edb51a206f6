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
import tillerlink.fleet.Kind;
import tillerlink.model.Engine.Status;
import tillerlink.net.lifecycle.WallClock;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.replay.Arrivals;
import tillerlink.replay.Figures;
import tillerlink.replay.Front;
import tillerlink.replay.Job;
import tillerlink.replay.Played;
import tillerlink.replay.Wording;
import tillerlink.workload.Arrival;

/**
 * Replays in real time over loopback sockets, through gateway processes. One thread owns engines,
 * clients and auditor; the sockets' threads only post to its queue. The load keeps the trace's
 * times whatever becomes of it; how late it was sent is measured.
 */
public final class ProcessHarness implements AutoCloseable {
  private static final long AHEAD = 10_000;
  private static final long SWEEP_EVERY = 500;
  private static final long LEAD = 2000;
  private static final long AFTERWARDS = 10_000;
  private static final long TELL_EVERY = 10_000;
  private static final long LAG_MOST = 600_000;

  private final Job job;
  private final WallClock clock = new WallClock();
  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
  private final Auditor auditor;
  private final EmulatedCluster cluster;
  private final EngineSockets engines;
  private final NameSockets names;
  private final ClientSockets clients;
  private final Path folder;
  private final GatewayProcess[] gateways;
  private final Random seeds;
  private final Histogram lag = new Histogram(1, LAG_MOST, 2);
  private long serial = 1;
  private List<EndpointEntry> listed;

  private ProcessHarness(Job job, Path store) throws IOException {
    this.job = job;
    int count = job.fleet().gateways();
    seeds = new Random(job.seed());
    auditor = new Auditor(job.fleet(), job.requestClasses());
    cluster = new EmulatedCluster(job.fleet(), job.requestClasses(), auditor, clock.now());
    engines = new EngineSockets(cluster, queue::add);
    cluster.onEngine(engines::open);
    listed = cluster.list();
    names = new NameSockets(count, queue::add, this::answer);
    folder = Files.createTempDirectory("tillerlink-harness-");
    InetSocketAddress[] at = new InetSocketAddress[count];
    gateways = new GatewayProcess[count];
    for (int i = 0; i < count; i++) {
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        at[i] = (InetSocketAddress) free.getLocalSocketAddress();
      }
      gateways[i] =
          new GatewayProcess(
              folder,
              "n" + i,
              at[i],
              job.fleet().kinds().stream().filter(Kind::http2).map(Kind::name).toList(),
              store);
    }
    clients = new ClientSockets(at, queue::add);
  }

  /**
   * @param progress told now and then how many have arrived
   */
  public static Played play(Job job, Arrivals arrivals, LongConsumer progress) throws IOException {
    return play(job, arrivals, progress, null, cluster -> {});
  }

  /**
   * @param store where gateways remember what outlives them, or null
   * @param prepared given the engines before any gateway starts, so that some can be made to
   *     misbehave
   */
  public static Played play(
      Job job,
      Arrivals arrivals,
      LongConsumer progress,
      Path store,
      Consumer<EmulatedCluster> prepared)
      throws IOException {
    try (ProcessHarness rig = new ProcessHarness(job, store)) {
      prepared.accept(rig.cluster);
      rig.startGateways();
      return rig.run(arrivals, progress);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  // ---- gateways ----

  /** The discovery service is asked while they start, so that its thread is this one. */
  private void startGateways() throws IOException, InterruptedException {
    for (int i = 0; i < gateways.length; i++) {
      start(i);
    }
    for (int i = 0; i < gateways.length; i++) {
      int gateway = i;
      Thread waiting = waitFor(gateway);
      while (waiting.isAlive()) {
        turn(clock.now() + SWEEP_EVERY);
      }
      if (!clients.isUp(gateway)) {
        turn(clock.now());
      }
      if (!clients.isUp(gateway)) {
        gateways[gateway].awaitReady();
        clients.up(gateway, true);
      }
    }
  }

  private Thread waitFor(int gateway) {
    Thread waiting =
        new Thread(
            () -> {
              try {
                gateways[gateway].awaitReady();
                queue.add(() -> clients.up(gateway, true));
              } catch (IOException e) {
                // Those who need it find it down.
              }
            },
            "ready-" + gateway);
    waiting.setDaemon(true);
    waiting.start();
    return waiting;
  }

  private void start(int gateway) throws IOException {
    boolean down = cluster.isDiscoveryDown();
    if (!down) {
      tell(gateway);
    }
    gateways[gateway].start(
        seeds.nextLong(),
        names.address(gateway),
        job.fleet().sockets(),
        job.fleet().settings(job.requestClasses(), gateway),
        down ? 0 : serial(),
        down ? List.of() : seen(gateway));
  }

  private void killed(int gateway) {
    clients.up(gateway, false);
    gateways[gateway].kill();
  }

  private void again(int gateway) {
    try {
      start(gateway);
      waitFor(gateway);
    } catch (IOException e) {
      throw new IllegalStateException(
          "gateway n" + gateway + " can't be started again: " + e.getMessage(), e);
    }
  }

  // ---- the discovery service ----

  private byte[] answer(int gateway, byte[] question) {
    if (cluster.isDiscoveryDown()) {
      return null;
    }
    tell(gateway);
    int id = question.length < 2 ? 0 : (question[0] & 255) << 8 | question[1] & 255;
    return DiscoveryResponse.of(id, serial(), seen(gateway));
  }

  private long serial() {
    List<EndpointEntry> now = cluster.list();
    if (!now.equals(listed)) {
      listed = now;
      serial++;
    }
    return serial;
  }

  /** The list as one gateway sees it: engines at the ports that are its own. */
  private List<EndpointEntry> seen(int gateway) {
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

  private void tell(int gateway) {
    for (EndpointEntry entry : cluster.list()) {
      if (entry.standing() != Status.READY) {
        auditor.withdrawn(cluster.now(), gateway, entry.id());
      }
    }
  }

  // ---- the run ----

  private Played run(Arrivals arrivals, LongConsumer progress)
      throws IOException, InterruptedException {
    long start = clock.now() + LEAD;
    cluster.timeline.follow(clock.now());
    Figures figures = new Figures(job.requestClasses());
    Front front = new Front(cluster, clients, figures, new Wording(job.seed(), job.error()));
    front.startAt(start);
    cluster.onKill(this::killed);
    cluster.onStart(this::again);
    cluster.startIncidentClock(start);
    job.troubles().forEach(cluster::plan);
    Arrival next = arrivals.next();
    long tellAt = start;
    while (next != null || figures.arrived() < arrivals.arrived() || front.open() > 0) {
      long now = clock.now();
      while (next != null && start + next.at() <= now + AHEAD) {
        Arrival arrival = next;
        long due = start + arrival.at();
        cluster.timeline.at(due, () -> send(front, arrival, due));
        next = arrivals.next();
      }
      turn(now + SWEEP_EVERY);
      if (now >= tellAt) {
        tellAt = now + TELL_EVERY;
        progress.accept(arrivals.arrived());
      }
    }
    long lasted = clock.now() - start;
    long end = clock.now() + AFTERWARDS;
    while (clock.now() < end) {
      turn(end);
    }
    figures.end();
    return new Played(job, arrivals, cluster, auditor, figures, start, lasted, lag);
  }

  private void send(Front front, Arrival arrival, long due) {
    lag.recordValue(Math.min(LAG_MOST, Math.max(1, clock.now() - due)));
    front.arrive(arrival);
  }

  /** Takes what came and what is due; waits for either until then. */
  private void turn(long until) throws InterruptedException {
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
    clients.close();
    names.close();
    engines.close();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path file : files) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(folder);
  }
}
