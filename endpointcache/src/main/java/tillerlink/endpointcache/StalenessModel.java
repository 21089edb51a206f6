package tillerlink.endpointcache;

/**
 * How stale a cached endpoint list is, by its age and by how fast the fleet changed. Does no I/O.
 * Times are tenths of a millisecond.
 */
public enum StalenessModel {
  /** At most 2 % of the list is expected to have changed. */
  FRESH(0.9),
  /** At most 10 %. */
  AGEING(0.6),
  /** At most half. */
  OLD(0.3),
  /** More; such a list is not used. */
  TOO_OLD(0);

  private static final double MAX_CHANGED_FRESH = 0.02;
  private static final double MAX_CHANGED_AGEING = 0.1;
  private static final double MAX_CHANGED_OLD = 0.5;

  /** How far in the future a list may be before the clock is disbelieved, in longest deadlines. */
  private static final double CLOCK_SLACK = 1;

  private final double confidence;

  StalenessModel(double confidence) {
    this.confidence = confidence;
  }

  /** What the dispatch policy is given for each endpoint; 1 would be a list just confirmed. */
  public double confidence() {
    return confidence;
  }

  /**
   * Rates a list. A clock that was set back makes the list one from the future, which counts as old
   * at best; one that was set forward makes it too old, so that no more than the list is lost.
   *
   * @param age negative for a list from the future
   * @param changeRate the fraction of the fleet that changes in a tenth of a millisecond; 0 if no
   *     change was observed
   * @param longestDeadline of any request class
   * @param maxAge the age from which on no list is used
   */
  public static StalenessModel of(long age, double changeRate, long longestDeadline, long maxAge) {
    if (age < -CLOCK_SLACK * longestDeadline) {
      return OLD;
    }
    if (age > maxAge) {
      return TOO_OLD;
    }
    // Without any observed change, the fleet is taken to change once within the maximal age.
    double rate = Math.max(changeRate, 1.0 / maxAge);
    double changed = 1 - Math.exp(-rate * Math.max(0, age));
    if (changed <= MAX_CHANGED_FRESH) {
      return FRESH;
    }
    if (changed <= MAX_CHANGED_AGEING) {
      return AGEING;
    }
    return changed <= MAX_CHANGED_OLD ? OLD : TOO_OLD;
  }
}
