package tillerlink.policy;

/** When an engine's process started, on this gateway's clock. */
public final class StartTime {
  private StartTime() {}

  /**
   * The reported start, within what is possible: the clocks of other machines and the wall clock
   * here may step, by an hour too. A start is not in the future, and not long before its process
   * was seen to be missing from the list; reported earlier, the engine would pass for warm. A
   * bounded start makes an engine colder than it may be.
   *
   * @param reported as the list has it, by clocks of other machines; 0 for long ago
   * @param now the time at which it is reported
   * @param confirmedAt up to when the process is known to have been missing; {@link Long#MIN_VALUE}
   *     if that is not known
   */
  public static long bounded(long reported, long now, long confirmedAt) {
    if (reported <= 0) {
      return reported;
    }
    long earliest =
        confirmedAt == Long.MIN_VALUE
            ? Long.MIN_VALUE
            : confirmedAt - DiscoveryLease.ASSUMED_NOTIFIED_AFTER;
    return Math.min(now, Math.max(reported, earliest));
  }
}
