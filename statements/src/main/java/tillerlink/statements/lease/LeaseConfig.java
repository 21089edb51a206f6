package tillerlink.statements.lease;

/**
 * The duration of leases. Times are in tenths of a millisecond.
 *
 * @param length the nominal duration of a lease; at least 1000
 * @param drift the largest deviation of the rate of any clock in the cluster from true time, as a
 *     fraction; 0 to 0.2
 * @param margin the remaining validity that a lease needs when an attempt is written under it; 0 to
 *     a quarter of {@code length}
 */
public record LeaseConfig(long length, double drift, long margin) {
  /** The shortest lease: 100 ms. */
  private static final long LENGTH_MIN = 1000;

  private static final double DRIFT_MAX = 0.2;

  /**
   * Creates a configuration.
   *
   * @throws IllegalArgumentException if a value is out of its range, so that too little of a lease
   *     would be usable
   */
  public LeaseConfig {
    if (length < LENGTH_MIN
        || drift < 0
        || drift > DRIFT_MAX
        || margin < 0
        || margin * 4 > length) {
      throw new IllegalArgumentException(
          "expected a lease of at least 100 ms, a drift of 0 to 0.2 and a margin of 0 to a quarter"
              + " of the lease, got (times in tenths of a millisecond) lease "
              + length
              + ", drift "
              + drift
              + ", margin "
              + margin);
    }
  }

  /**
   * Returns the time for which a gateway relies on a lease, by its own clock and counted from
   * before it sent the request. It is shortened by the drift, so that it ends before the voters'
   * grants.
   *
   * @return the time, in tenths of a millisecond
   */
  public long holderDuration() {
    return (long) Math.floor(length * (1 - drift));
  }

  /**
   * Returns the time for which a voter honours a grant, by its own clock and counted from after it
   * received the request. It is extended by the drift, so that it ends after the holder's lease.
   *
   * @return the time, in tenths of a millisecond
   */
  public long grantorDuration() {
    return (long) Math.ceil(length * (1 + drift)) + 1;
  }
}
