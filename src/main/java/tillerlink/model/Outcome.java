package tillerlink.model;

/** How a hop ended. */
public enum Outcome {
    FULFILLED(false, false),
    ERRED(false, false),
    /** Turned away by an engine that was full or draining. */
    FULL(true, false),
    OVERDUE(false, true),
    /** No connection was made in time. */
    UNREACHABLE(true, false),
    SEVERED(false, true),
    /** It came to the engine, and what that answered was lost on the way: nothing is said of the engine. */
    SPOILT(false, true),
    CALLED_OFF(false, true),
    NEVER_SENT(true, false);

    /** The submission is known not to have run on this hop. */
    public final boolean provesIdle;
    /** The submission may still be running. */
    public final boolean leavesDoubt;

    Outcome(boolean provesIdle, boolean leavesDoubt) {
        this.provesIdle = provesIdle;
        this.leavesDoubt = leavesDoubt;
    }
}
