package tillerlink.endpointcache;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A guard against faulty endpoint lists. If a list leaves out more than half of the known endpoints
 * at once, the loss is accepted only after it has been reported several times over a minimum time.
 */
final class MassLossGuard {
  private static final double MAX_PLAUSIBLE_LOSS_FRACTION = 0.5;

  /** The smallest number of lost endpoints that is suspect; smaller losses are always accepted. */
  private static final int MIN_SUSPECT_LOSS = 2;

  private static final int REPORTS_TO_ACCEPT = 3;

  /**
   * The minimum time between the first and the last report, in multiples of the longest deadline.
   */
  private static final double MIN_REPORT_SPAN_DEADLINES = 0.2;

  private final double minReportSpan;
  private final Set<String> suspectLoss = new LinkedHashSet<>();
  private long firstReportAt;
  private int reports;

  /**
   * Creates a guard that has received no report.
   *
   * @param longestDeadline the longest deadline of any request class, in tenths of a millisecond
   */
  MassLossGuard(long longestDeadline) {
    minReportSpan = MIN_REPORT_SPAN_DEADLINES * longestDeadline;
  }

  /**
   * Records a report and returns whether the loss must not be accepted yet.
   *
   * @param now the current time in tenths of a millisecond
   * @param lost the ids of the endpoints that the list left out
   * @param knownEndpoints the number of endpoints known before the list arrived, without those that
   *     are gone
   * @return whether the loss must be deferred; false for a loss that is small or was reported often
   *     enough
   */
  boolean shouldDefer(long now, Set<String> lost, long knownEndpoints) {
    if (lost.size() < MIN_SUSPECT_LOSS
        || lost.size() <= MAX_PLAUSIBLE_LOSS_FRACTION * knownEndpoints) {
      suspectLoss.clear();
      return false;
    }
    if (!lost.equals(suspectLoss)) {
      suspectLoss.clear();
      suspectLoss.addAll(lost);
      firstReportAt = now;
      reports = 0;
    }
    reports++;
    return reports < REPORTS_TO_ACCEPT || now < firstReportAt + minReportSpan;
  }
}
