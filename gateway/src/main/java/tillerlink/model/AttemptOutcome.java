package tillerlink.model;

/** How an attempt ended. */
public enum AttemptOutcome {
  SUCCEEDED(false, false, true),
  FAILED(false, false, true),
  /** Turned away by an engine that was full or draining. */
  REJECTED(true, false, true),
  TIMED_OUT(false, true, false),
  /** No connection was made in time. */
  CONNECT_FAILED(true, false, false),
  CONNECTION_LOST(false, true, false),
  /**
   * It came to the engine, and what that answered was lost on the way: nothing is said of its
   * health.
   */
  RESPONSE_LOST(false, true, true),
  CANCELLED(false, true, false),
  NOT_SENT(true, false, false);

  /** The request is known not to have run on this attempt. */
  public final boolean provesNotExecuted;

  /** The request may still be running. */
  public final boolean mayStillBeRunning;

  /** The engine itself answered. */
  public final boolean engineResponded;

  AttemptOutcome(boolean provesNotExecuted, boolean mayStillBeRunning, boolean heard) {
    this.provesNotExecuted = provesNotExecuted;
    this.mayStillBeRunning = mayStillBeRunning;
    this.engineResponded = heard;
  }
}
