package tillerlink.replay;

import java.io.IOException;
import java.util.function.LongConsumer;
import tillerlink.audit.Auditor;
import tillerlink.emulator.Trouble;
import tillerlink.emulator.World;
import tillerlink.workload.Arrival;

/** One replay in virtual time. */
public final class Run {
    private static final long UNIX_START = 17_000_000_000_000L;
    private static final long AFTERWARDS = 2 * Figures.SECOND;
    private static final long TELL_EVERY = 1 << 16;

    private final Job job;
    private final World world;
    private final Auditor auditor;
    private final Figures figures;
    private final Arrivals arrivals;

    public Run(Job job, Arrivals arrivals) {
        this.job = job;
        this.arrivals = arrivals;
        auditor = new Auditor(job.fleet(), job.tracks());
        figures = new Figures(job.tracks());
        world = new World(job.fleet(), job.tracks(), auditor, job.modules(), job.seed(), UNIX_START);
    }

    /** @param progress told now and then how many have arrived */
    public void play(LongConsumer progress) throws IOException {
        long start = world.now();
        Front front = new Front(world, figures, new Wording(job.seed(), job.error()));
        for (Trouble trouble : job.troubles()) {
            world.plan(trouble);
        }
        Arrival next = arrivals.next();
        long steps = 0;
        while (next != null || front.open() > 0) {
            while (next != null && start + next.at() <= world.timeline.next()) {
                Arrival arrival = next;
                world.timeline.at(start + arrival.at(), () -> front.arrive(arrival));
                next = arrivals.next();
            }
            world.timeline.step();
            if (++steps % TELL_EVERY == 0) {
                progress.accept(arrivals.arrived());
            }
        }
        long end = world.now() + AFTERWARDS;
        while (world.timeline.next() < end) {
            world.timeline.step();
        }
        figures.end();
    }

    public Job job() {
        return job;
    }

    public World world() {
        return world;
    }

    public Auditor auditor() {
        return auditor;
    }

    public Figures figures() {
        return figures;
    }

    public Arrivals arrivals() {
        return arrivals;
    }

    /** Seconds since the start. */
    String sinceStart(long at) {
        return String.format(java.util.Locale.ROOT, "%.3f", (at - UNIX_START) / (double) Figures.SECOND);
    }

    /** How long it lasted, in tenths of a millisecond. */
    public long lasted() {
        return world.now() - UNIX_START - AFTERWARDS;
    }

    /** Whether every row and every submission is accounted for, and no rule was broken. */
    public boolean sound() {
        return arrivals.tally().addsUp() && figures.addsUp() && auditor.counts().isEmpty();
    }
}
