package tillerlink.replay;

import java.util.Locale;
import org.HdrHistogram.Histogram;
import tillerlink.audit.Auditor;
import tillerlink.emulator.World;

/**
 * A replay that has been played.
 *
 * @param start  when it began, and how long it lasted: tenths of a millisecond
 * @param lag    how late submissions were sent over sockets, in tenths of a millisecond; null in virtual time
 */
public record Played(Job job, Arrivals arrivals, World world, Auditor auditor, Figures figures, long start,
                     long lasted, Histogram lag) {
    private static final double LAG_99_MOST = 200;
    private static final double LAG_MOST = 5000;

    /** Seconds since the start. */
    String sinceStart(long at) {
        return String.format(Locale.ROOT, "%.3f", (at - start) / (double) Figures.SECOND);
    }

    /** Whether the load was sent as the trace has it: of 100 submissions 99 within 20 ms, all within half a second. */
    public boolean inTime() {
        return lag == null || lag.getValueAtPercentile(99) <= LAG_99_MOST && lag.getMaxValue() <= LAG_MOST;
    }

    /** Whether the figure counts: the load was in time, all rows and submissions are accounted for, no rule broke. */
    public boolean sound() {
        return inTime() && arrivals.tally().addsUp() && figures.addsUp() && auditor.counts().isEmpty();
    }
}
