package tillerlink.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;

/**
 * A replay that has been played.
 *
 * @param start when it began, and how long it lasted: tenths of a millisecond
 * @param lag how late requests were sent over sockets, in tenths of a millisecond; null in virtual
 *     time
 */
public record Played(
    Job job,
    Arrivals arrivals,
    EmulatedCluster cluster,
    Auditor auditor,
    Figures figures,
    long start,
    long lasted,
    Histogram lag) {
  private static final double LAG_99_MOST = 200;
  private static final double LAG_MOST = 5000;
  private static final int TENTHS_PER_MS = 10;

  /** Seconds since the start. */
  String sinceStart(long at) {
    return String.format(Locale.ROOT, "%.3f", (at - start) / (double) Figures.SECOND);
  }

  /**
   * Whether the load was sent as the trace has it: of 100 requests 99 within 20 ms, all within half
   * a second.
   */
  public boolean inTime() {
    return lag == null
        || lag.getValueAtPercentile(99) <= LAG_99_MOST && lag.getMaxValue() <= LAG_MOST;
  }

  /**
   * What is wrong, in words, whatever the machine was busy with: rules that broke, rows or requests
   * that are not accounted for. Empty if nothing is.
   */
  public List<String> faults() {
    List<String> faults = new ArrayList<>();
    auditor
        .counts()
        .forEach(
            (rule, times) ->
                faults.add(
                    String.format(
                        Locale.ROOT,
                        "rule broken: %s, %d times",
                        rule.name().toLowerCase(Locale.ROOT),
                        times)));
    if (!arrivals.tally().addsUp()) {
      faults.add("rows are not all accounted for");
    }
    if (!figures.addsUp()) {
      faults.add("submissions are not all accounted for");
    }
    return faults;
  }

  /** Whether the figure counts: the load was in time, and nothing is wrong. */
  public boolean sound() {
    return inTime() && faults().isEmpty();
  }

  /** In one line, why the figure counts or does not. */
  public String verdict() {
    List<String> faults = faults();
    String told =
        faults.isEmpty() ? "no rule broke, and all is accounted for" : String.join("; ", faults);
    return inTime()
        ? told
        : String.format(
            Locale.ROOT,
            "%s; the figure does not count: the load was sent late, by "
                + "%.1f ms at the most, as the machine was busy",
            told,
            lag.getMaxValue() / (double) TENTHS_PER_MS);
  }
}
