package tillerlink.replay;

import java.io.IOException;
import java.util.function.LongConsumer;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.workload.Arrival;

/** Replays a trace in virtual time. */
public final class VirtualTimeReplay {
  /** The virtual time at which a replay starts, in tenths of a millisecond. */
  private static final long START = 17_000_000_000_000L;

  /**
   * Time after the last response in which engines and gateways finish, in tenths of a millisecond.
   */
  private static final long SETTLING_TIME = 2 * ReplayMetrics.SECOND;

  private static final long STEPS_PER_PROGRESS = 1 << 16;

  private VirtualTimeReplay() {}

  /**
   * Runs a replay.
   *
   * @param progress called repeatedly with the number of requests that have arrived
   * @throws IOException if the trace cannot be read
   */
  public static ReplayResult play(
      ReplayConfig config, ArrivalSource arrivals, LongConsumer progress) throws IOException {
    Auditor auditor = new Auditor(config.fleet(), config.requestClasses());
    ReplayMetrics metrics = new ReplayMetrics(config.requestClasses());
    EmulatedCluster cluster =
        new EmulatedCluster(config.fleet(), config.requestClasses(), auditor, START)
            .startGateways(config.policies(), config.seed());
    ReplayClients clients =
        new ReplayClients(
            cluster,
            new GatewayConnections(cluster),
            metrics,
            new RequestEncoder(config.seed(), config.estimateSigma()));
    config.troubles().forEach(cluster::plan);
    Arrival next = arrivals.next();
    long steps = 0;
    while (next != null || metrics.arrived() < arrivals.arrived() || clients.open() > 0) {
      while (next != null && START + next.at() <= cluster.timeline.next()) {
        Arrival arrival = next;
        cluster.timeline.at(START + arrival.at(), () -> clients.arrive(arrival));
        next = arrivals.next();
      }
      cluster.timeline.step();
      if (++steps % STEPS_PER_PROGRESS == 0) {
        progress.accept(arrivals.arrived());
      }
    }
    long lasted = cluster.now() - START;
    while (cluster.timeline.next() < START + lasted + SETTLING_TIME) {
      cluster.timeline.step();
    }
    metrics.end();
    return new ReplayResult(config, arrivals, cluster, auditor, metrics, START, lasted, null);
  }
}
