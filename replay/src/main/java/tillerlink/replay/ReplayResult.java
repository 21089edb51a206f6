package tillerlink.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;

/**
 * The result of a replay.
 *
 * @param start the start of the run, in tenths of a millisecond
 * @param lasted the duration of the run, in tenths of a millisecond
 * @param lag the delay with which requests were sent over sockets, in tenths of a millisecond; null
 *     in virtual time
 */
public record ReplayResult(
    ReplayConfig config,
    ArrivalSource arrivals,
    EmulatedCluster cluster,
    Auditor auditor,
    ReplayMetrics metrics,
    long start,
    long lasted,
    Histogram lag) {
  private static final double MAX_LAG_P99 = 200;
  private static final double MAX_LAG = 5000;
  private static final int TICKS_PER_MS = 10;

  /**
   * Formats a time as seconds since the start, with three decimals.
   *
   * @param time in tenths of a millisecond
   */
  String sinceStart(long time) {
    return String.format(Locale.ROOT, "%.3f", (time - start) / (double) ReplayMetrics.SECOND);
  }

  /**
   * Returns whether the load was sent at the times of the trace: 99 of 100 requests at most 20 ms
   * late, and all at most half a second late.
   */
  public boolean loadWasInTime() {
    return lag == null
        || (lag.getValueAtPercentile(99) <= MAX_LAG_P99 && lag.getMaxValue() <= MAX_LAG);
  }

  /**
   * Returns the faults of the gateways or of the replay, which do not depend on the load of the
   * machine: violated rules, and rows or requests that are not accounted for.
   */
  public List<String> faults() {
    List<String> faults = new ArrayList<>();
    auditor
        .counts()
        .forEach(
            (rule, count) ->
                faults.add(
                    String.format(
                        Locale.ROOT,
                        "rule broken: %s, %d times",
                        rule.name().toLowerCase(Locale.ROOT),
                        count)));
    if (!arrivals.counts().addsUp()) {
      faults.add("rows are not all accounted for");
    }
    if (!metrics.addsUp()) {
      faults.add("submissions are not all accounted for");
    }
    return faults;
  }

  /** Returns whether the figures are valid: the load was sent in time, and there are no faults. */
  public boolean isValid() {
    return loadWasInTime() && faults().isEmpty();
  }

  /** Returns one line that says whether the figures are valid, with the reason if they are not. */
  public String verdict() {
    List<String> faults = faults();
    String summary =
        faults.isEmpty() ? "no rule broke, and all is accounted for" : String.join("; ", faults);
    return loadWasInTime()
        ? summary
        : String.format(
            Locale.ROOT,
            "%s; the figure does not count: the load was sent late, by "
                + "%.1f ms at the most, as the machine was busy",
            summary,
            lag.getMaxValue() / (double) TICKS_PER_MS);
  }
}
