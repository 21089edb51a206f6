package tillerlink.statements.run;

/** Whether a prepared statement may be run. */
public sealed interface Permission {
  /**
   * @param until its attempt must be written before then, by the clock that was asked
   */
  record Yes(long until) implements Permission {}

  /**
   * @param why in words for people
   * @param comeBack in how long another try is worth it; 0 if it isn't, as it has to be looked up
   *     or prepared again
   */
  record No(Reason why, String words, long retryAfter) implements Permission {}

  /** Why not. */
  enum Reason {
    /** It is not prepared, or another text took its place. */
    OTHER,
    /** A change took effect under which it can't run. */
    INVALID,
    /** A change took effect that it is being prepared anew for. */
    ANEW,
    /** A change of one of its groups is announced. */
    CHANGING,
    /** This gateway can't know: it holds no lease on a group. */
    UNKNOWN
  }
}
