package tillerlink.endpointcache;

/**
 * How far a remembered list is trusted, by its age and by how fast the fleet was seen to change. It
 * does no I/O. Times are tenths of a millisecond.
 */
public enum StalenessModel {
  FRESH(0.9),
  AGEING(0.6),
  OLD(0.3),
  TOO_OLD(0);

  /** Share of a list that may have changed since, up to which it counts as so. */
  private static final double FRESH_MOST = 0.02;

  private static final double AGEING_MOST = 0.1;
  private static final double OLD_MOST = 0.5;

  /** A clock may be off by so many of the longest deadlines before its time is not believed. */
  private static final double CLOCK_SLACK = 1;

  /** What the module is told: 1 would be a list that was just confirmed. */
  public final double level;

  StalenessModel(double level) {
    this.level = level;
  }

  /**
   * Guards against a clock that was set back, by which a list would be from the future: such a one
   * is old at the best; and against one set forward, which makes any list too old, so that the most
   * that is lost is the list.
   *
   * @param changes the share of the fleet that changes in a tenth of a millisecond, as seen; 0 if
   *     nothing was
   * @param longestDeadline the longest deadline of any request class
   * @param ageMost from which age on nothing is trusted
   */
  public static StalenessModel of(long age, double changes, long longestDeadline, long ageMost) {
    if (age < -CLOCK_SLACK * longestDeadline) {
      return OLD;
    }
    if (age > ageMost) {
      return TOO_OLD;
    }
    // With nothing seen, the fleet is taken to change once within the age that is trusted at the
    // most.
    double rate = Math.max(changes, 1.0 / ageMost);
    double changed = 1 - Math.exp(-rate * Math.max(0, age));
    return changed <= FRESH_MOST
        ? FRESH
        : changed <= AGEING_MOST ? AGEING : changed <= OLD_MOST ? OLD : TOO_OLD;
  }
}
