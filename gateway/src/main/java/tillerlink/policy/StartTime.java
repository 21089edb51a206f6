package tillerlink.policy;

/** When an engine's process started, on this gateway's clock. */
public final class StartTime {
  private StartTime() {}

  /**
   * What the list says, within what can be: clocks of other machines and a wall clock here may
   * step, by an hour too. A start is not in the future, and not long before its process was seen to
   * be missing from the list; told earlier, it would pass for warm. What is bounded so counts as
   * colder than it may be.
   *
   * @param told as the list tells it, by clocks of other machines; 0 for long ago
   * @param now the time at which it is told
   * @param confirmedAt up to when it is known not to have been there; {@link Long#MIN_VALUE} if
   *     that is not
   */
  public static long bounded(long told, long now, long confirmedAt) {
    if (told <= 0) {
      return told;
    }
    long earliest =
        confirmedAt == Long.MIN_VALUE
            ? Long.MIN_VALUE
            : confirmedAt - DiscoveryLease.ASSUMED_NOTIFIED_AFTER;
    return Math.min(now, Math.max(told, earliest));
  }
}
