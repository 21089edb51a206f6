package tillerlink.model;

/** The outcome of an attempt. */
public enum AttemptOutcome {
  /** The engine executed the request. */
  SUCCEEDED(false, false, true),
  /** The engine reported an error. */
  FAILED(false, false, true),
  /** The engine refused the attempt because it was full or draining. */
  REJECTED(true, false, true),
  /** The client's deadline passed before the attempt ended. */
  TIMED_OUT(false, true, false),
  /** No connection to the engine was established in time. */
  CONNECT_FAILED(true, false, false),
  /** The connection was lost while the attempt was in flight. */
  CONNECTION_LOST(false, true, false),
  /**
   * The attempt reached the engine, but its response was lost on the way. This outcome indicates
   * nothing about the engine's health.
   */
  RESPONSE_LOST(false, true, true),
  /** The attempt was cancelled after it was written. */
  CANCELLED(false, true, false),
  /** No byte of the attempt was written. */
  NOT_SENT(true, false, false);

  /** Whether the outcome proves that this attempt did not execute the request. */
  public final boolean provesNotExecuted;

  /** Whether the request may still be running on the engine. */
  public final boolean mayStillBeRunning;

  /** Whether the outcome shows that the engine itself responded. */
  public final boolean engineResponded;

  AttemptOutcome(boolean provesNotExecuted, boolean mayStillBeRunning, boolean engineResponded) {
    this.provesNotExecuted = provesNotExecuted;
    this.mayStillBeRunning = mayStillBeRunning;
    this.engineResponded = engineResponded;
  }
}
