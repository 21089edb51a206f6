package tillerlink.model;

/** How a hop ended. */
public enum AttemptOutcome {
  FULFILLED(false, false, true),
  ERRED(false, false, true),
  /** Turned away by an engine that was full or draining. */
  FULL(true, false, true),
  OVERDUE(false, true, false),
  /** No connection was made in time. */
  UNREACHABLE(true, false, false),
  SEVERED(false, true, false),
  /**
   * It came to the engine, and what that answered was lost on the way: nothing is said of its
   * health.
   */
  SPOILT(false, true, true),
  CALLED_OFF(false, true, false),
  NEVER_SENT(true, false, false);

  /** The submission is known not to have run on this hop. */
  public final boolean provesIdle;

  /** The submission may still be running. */
  public final boolean leavesDoubt;

  /** The engine itself answered. */
  public final boolean heard;

  AttemptOutcome(boolean provesIdle, boolean leavesDoubt, boolean heard) {
    this.provesIdle = provesIdle;
    this.leavesDoubt = leavesDoubt;
    this.heard = heard;
  }
}
