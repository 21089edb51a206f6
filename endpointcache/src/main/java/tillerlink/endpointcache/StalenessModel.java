package tillerlink.endpointcache;

/**
 * The staleness of a cached endpoint list, estimated from its age and the rate at which the fleet
 * changed. Times are tenths of a millisecond.
 */
public enum StalenessModel {
  /** At most 2 % of the list is expected to have changed. */
  FRESH(0.9),
  /** At most 10 % of the list is expected to have changed. */
  AGEING(0.6),
  /** At most half of the list is expected to have changed. */
  OLD(0.3),
  /** More than half of the list is expected to have changed, or it is too old; it is not used. */
  TOO_OLD(0);

  private static final double MAX_CHANGED_FRESH = 0.02;
  private static final double MAX_CHANGED_AGEING = 0.1;
  private static final double MAX_CHANGED_OLD = 0.5;

  /**
   * The time by which a list may lie in the future before the clock is considered wrong, in
   * multiples of the longest deadline.
   */
  private static final double CLOCK_TOLERANCE_DEADLINES = 1;

  private final double confidence;

  StalenessModel(double confidence) {
    this.confidence = confidence;
  }

  /**
   * Returns the confidence in each endpoint of the list that the dispatch policy receives.
   *
   * @return the confidence, at least 0 and less than 1; the value 1 would mean a list that was just
   *     confirmed
   */
  public double confidence() {
    return confidence;
  }

  /**
   * Returns the staleness of a list. If the clock was set back, the list lies in the future: beyond
   * the clock tolerance it is rated as {@link #OLD}, never as better. If the clock was set forward,
   * the list is rated as {@link #TOO_OLD} at worst, so that only the cached list is lost.
   *
   * @param age the age of the list; negative if the list lies in the future
   * @param changeRate the fraction of the fleet that changes per tenth of a millisecond; 0 if no
   *     change was observed
   * @param longestDeadline the longest deadline of any request class
   * @param maxAge the age beyond which a list is not used
   */
  public static StalenessModel of(long age, double changeRate, long longestDeadline, long maxAge) {
    if (age < -CLOCK_TOLERANCE_DEADLINES * longestDeadline) {
      return OLD;
    }
    if (age > maxAge) {
      return TOO_OLD;
    }
    // If no change was observed, the fleet is assumed to change once within the maximum age.
    double rate = Math.max(changeRate, 1.0 / maxAge);
    double changedFraction = 1 - Math.exp(-rate * Math.max(0, age));
    if (changedFraction <= MAX_CHANGED_FRESH) {
      return FRESH;
    }
    if (changedFraction <= MAX_CHANGED_AGEING) {
      return AGEING;
    }
    return changedFraction <= MAX_CHANGED_OLD ? OLD : TOO_OLD;
  }
}
