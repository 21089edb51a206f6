package tillerlink.model;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The engine executed it. */
  SUCCEEDED(false, false, true),
  /** The engine reported an error. */
  FAILED(false, false, true),
  /** Refused by an engine that was full or draining. */
  REJECTED(true, false, true),
  /** The client's time was over before it ended. */
  TIMED_OUT(false, true, false),
  /** No connection was made in time. */
  CONNECT_FAILED(true, false, false),
  /** The connection was lost while it was in flight. */
  CONNECTION_LOST(false, true, false),
  /**
   * It reached the engine, and the response was lost on the way: that tells nothing of the engine's
   * health.
   */
  RESPONSE_LOST(false, true, true),
  /** It was cancelled after it was written. */
  CANCELLED(false, true, false),
  /** Nothing of it was written. */
  NOT_SENT(true, false, false);

  /** The request is known not to have run on this attempt. */
  public final boolean provesNotExecuted;

  /** The request may still be running. */
  public final boolean mayStillBeRunning;

  /** The engine itself responded. */
  public final boolean engineResponded;

  AttemptOutcome(boolean provesNotExecuted, boolean mayStillBeRunning, boolean engineResponded) {
    this.provesNotExecuted = provesNotExecuted;
    this.mayStillBeRunning = mayStillBeRunning;
    this.engineResponded = engineResponded;
  }
}
