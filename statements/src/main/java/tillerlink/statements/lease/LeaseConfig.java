package tillerlink.statements.lease;

/**
 * How long leases are, in tenths of a millisecond.
 *
 * @param length what a gateway asks for
 * @param drift how much faster or slower than true time any clock in the cluster may run, as a part
 *     of one
 * @param margin a run needs so much of the lease ahead of it when its attempt is written
 */
public record LeaseConfig(long length, double drift, long margin) {
  private static final long LENGTH_MIN = 1000;
  private static final double DRIFT_MAX = 0.2;

  /**
   * Checks the durations.
   *
   * @throws IllegalArgumentException if the durations leave nothing of a lease
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

  /** How long a gateway relies on a lease, by its own clock, from before it asked for it. */
  public long holderDuration() {
    return (long) Math.floor(length * (1 - drift));
  }

  /** How long a voter honours a grant, by its own clock, from after it was asked for it. */
  public long grantorDuration() {
    return (long) Math.ceil(length * (1 + drift)) + 1;
  }
}
