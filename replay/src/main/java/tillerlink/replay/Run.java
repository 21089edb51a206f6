package tillerlink.replay;

import java.io.IOException;
import java.util.function.LongConsumer;
import tillerlink.audit.Auditor;
import tillerlink.emulator.World;
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
    World world =
        new World(job.fleet(), job.requestClasses(), auditor, UNIX_START)
            .seat(job.modules(), job.seed());
    Front front =
        new Front(
            world, new GatewayConnections(world), figures, new Wording(job.seed(), job.error()));
    job.troubles().forEach(world::plan);
    Arrival next = arrivals.next();
    long steps = 0;
    while (next != null || figures.arrived() < arrivals.arrived() || front.open() > 0) {
      while (next != null && UNIX_START + next.at() <= world.timeline.next()) {
        Arrival arrival = next;
        world.timeline.at(UNIX_START + arrival.at(), () -> front.arrive(arrival));
        next = arrivals.next();
      }
      world.timeline.step();
      if (++steps % TELL_EVERY == 0) {
        progress.accept(arrivals.arrived());
      }
    }
    long lasted = world.now() - UNIX_START;
    while (world.timeline.next() < UNIX_START + lasted + AFTERWARDS) {
      world.timeline.step();
    }
    figures.end();
    return new Played(job, arrivals, world, auditor, figures, UNIX_START, lasted, null);
  }
}
