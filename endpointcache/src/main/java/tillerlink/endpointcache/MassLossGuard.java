package tillerlink.endpointcache;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Guards against a faulty endpoint list: one that leaves out more than half of the known endpoints
 * at once is accepted only after it has come several times over some while.
 */
final class MassLossGuard {
  private static final double MAX_PLAUSIBLE_LOSS = 0.5;

  /** Losses of fewer endpoints are always accepted. */
  private static final int MIN_SUSPECT_LOSS = 2;

  private static final int REPORTS_TO_ACCEPT = 3;

  /** How long the reports have to span, in times of the longest deadline. */
  private static final double HOLD_DEADLINES = 0.2;

  private final double holdTime;
  private final Set<String> suspectLoss = new LinkedHashSet<>();
  private long suspectSince;
  private int reports;

  /**
   * @param longestDeadline of any request class, in tenths of a millisecond
   */
  MassLossGuard(long longestDeadline) {
    holdTime = HOLD_DEADLINES * longestDeadline;
  }

  /**
   * Whether the loss is not to be acted on yet.
   *
   * @param now tenths of a millisecond
   * @param lost ids that the list left out
   * @param known how many endpoints were known before, without those gone
   */
  boolean holdsBack(long now, Set<String> lost, long known) {
    if (lost.size() < MIN_SUSPECT_LOSS || lost.size() <= MAX_PLAUSIBLE_LOSS * known) {
      suspectLoss.clear();
      return false;
    }
    if (!lost.equals(suspectLoss)) {
      suspectLoss.clear();
      suspectLoss.addAll(lost);
      suspectSince = now;
      reports = 0;
    }
    reports++;
    return reports < REPORTS_TO_ACCEPT || now < suspectSince + holdTime;
  }
}
