package tillerlink.statements.run;

/** Whether a prepared statement may be run. Times are in tenths of a millisecond. */
public sealed interface Permission {
  /**
   * The run may start.
   *
   * @param until its attempt must be written before then, by the gateway's clock
   */
  record Granted(long until) implements Permission {}

  /**
   * The run may not start.
   *
   * @param message why, for people
   * @param retryAfter after how long another try is worth it; 0 if none is, as the statement has to
   *     be looked up or prepared again
   */
  record Denied(Reason reason, String message, long retryAfter) implements Permission {}

  /** Why a run may not start. */
  enum Reason {
    /** The statement is not prepared, or another text has replaced it. */
    OTHER,
    /** A change took effect under which the statement can't be run. */
    INVALID,
    /** A change took effect, and the statement is being prepared again for it. */
    ANEW,
    /** A change of one of the statement's groups is announced. */
    CHANGING,
    /** This gateway holds no lease on one of the statement's groups. */
    UNKNOWN
  }
}
