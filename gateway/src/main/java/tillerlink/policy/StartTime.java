package tillerlink.policy;

/** Start time of an engine's process on this gateway's clock. */
public final class StartTime {
  private StartTime() {}

  /**
   * Returns a reported start time, limited to what is possible because the clocks of other machines
   * and the wall clock here may be stepped, even by an hour. A start does not lie in the future,
   * and not more than {@link DiscoveryLease#ASSUMED_NOTIFIED_AFTER} before the process was last
   * seen to be missing from the endpoint list; with an earlier start a cold engine would count as
   * warm. A limited start may make an engine count as colder than it is.
   *
   * @param reportedStart the start in the endpoint list, by clocks of other machines, in tenths of
   *     a millisecond; 0 or less for long ago
   * @param now the time at which it is reported, in tenths of a millisecond
   * @param missingAt the last time at which the process is known to have been missing; {@link
   *     Long#MIN_VALUE} if that is not known
   * @return the limited start in tenths of a millisecond; {@code reportedStart} if that is 0 or
   *     less
   */
  public static long limitToPossible(long reportedStart, long now, long missingAt) {
    if (reportedStart <= 0) {
      return reportedStart;
    }
    long earliest =
        missingAt == Long.MIN_VALUE
            ? Long.MIN_VALUE
            : missingAt - DiscoveryLease.ASSUMED_NOTIFIED_AFTER;
    return Math.min(now, Math.max(reportedStart, earliest));
  }
}
