package tillerlink.statements.run;

/** The result of checking whether a statement may be run. Times are in tenths of a millisecond. */
public sealed interface Permission {
  /**
   * The run may start.
   *
   * @param until the time before which its attempt must be written, by the gateway's clock
   */
  record Granted(long until) implements Permission {}

  /**
   * The run may not start.
   *
   * @param reason why the run may not start
   * @param message a readable description of the reason, which is sent to the client
   * @param retryAfter the delay after which a retry may succeed; 0 if a retry can't succeed because
   *     the statement has to be looked up or prepared again
   */
  record Denied(Reason reason, String message, long retryAfter) implements Permission {}

  /** The reason why a run may not start. */
  enum Reason {
    /** The statement is not prepared, or another text has replaced it. */
    OTHER,
    /** A change took effect after which the statement can't be run. */
    INVALID,
    /** A change took effect, and the statement is being prepared again for it. */
    ANEW,
    /** A change of one of the statement's groups is announced and has not taken effect. */
    CHANGING,
    /** This gateway has no valid lease on one of the statement's groups. */
    UNKNOWN
  }
}
