package tillerlink.replay;

import java.io.IOException;
import java.util.function.LongConsumer;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.workload.Arrival;

/** Replays in virtual time. */
public final class Run {
  private static final long UNIX_START = 17_000_000_000_000L;
  private static final long AFTERWARDS = 2 * Figures.SECOND;
  private static final long TELL_EVERY = 1 << 16;

  private Run() {}

  /**
   * @param progress told now and then how many have arrived
   */
  public static Played play(Job job, Arrivals arrivals, LongConsumer progress) throws IOException {
    Auditor auditor = new Auditor(job.fleet(), job.requestClasses());
    Figures figures = new Figures(job.requestClasses());
    EmulatedCluster cluster =
        new EmulatedCluster(job.fleet(), job.requestClasses(), auditor, UNIX_START)
            .startGateways(job.modules(), job.seed());
    Front front =
        new Front(
            cluster,
            new GatewayConnections(cluster),
            figures,
            new Wording(job.seed(), job.error()));
    job.troubles().forEach(cluster::plan);
    Arrival next = arrivals.next();
    long steps = 0;
    while (next != null || figures.arrived() < arrivals.arrived() || front.open() > 0) {
      while (next != null && UNIX_START + next.at() <= cluster.timeline.next()) {
        Arrival arrival = next;
        cluster.timeline.at(UNIX_START + arrival.at(), () -> front.arrive(arrival));
        next = arrivals.next();
      }
      cluster.timeline.step();
      if (++steps % TELL_EVERY == 0) {
        progress.accept(arrivals.arrived());
      }
    }
    long lasted = cluster.now() - UNIX_START;
    while (cluster.timeline.next() < UNIX_START + lasted + AFTERWARDS) {
      cluster.timeline.step();
    }
    figures.end();
    return new Played(job, arrivals, cluster, auditor, figures, UNIX_START, lasted, null);
  }
}
