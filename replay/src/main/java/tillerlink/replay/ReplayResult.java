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
 * @param start when it began, in tenths of a millisecond
 * @param lasted how long it lasted, in tenths of a millisecond
 * @param lag how late requests were sent over sockets, in tenths of a millisecond; null in virtual
 *     time
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
  private static final double MAX_LAG_99 = 200;
  private static final double MAX_LAG = 5000;
  private static final int TICKS_PER_MS = 10;

  /** A time as seconds since the start. */
  String sinceStart(long time) {
    return String.format(Locale.ROOT, "%.3f", (time - start) / (double) ReplayMetrics.SECOND);
  }

  /**
   * Whether the load was sent as the trace has it: of 100 requests 99 within 20 ms, all within half
   * a second.
   */
  public boolean loadWasInTime() {
    return lag == null
        || (lag.getValueAtPercentile(99) <= MAX_LAG_99 && lag.getMaxValue() <= MAX_LAG);
  }

  /**
   * Faults of the gateways or the replay, independent of the load of the machine: violated rules,
   * and rows or requests that are not accounted for.
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

  /** Whether the figures are valid: the load was in time, and there are no faults. */
  public boolean isValid() {
    return loadWasInTime() && faults().isEmpty();
  }

  /** One line on why the figures are valid or not. */
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
