package tillerlink.messages.envelope;

/** A datagram is refused. */
public final class RefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Refusal why;

  /** Makes an exception without a stack trace: many may be thrown, and nobody reads the trace. */
  public RefusedException(Refusal why) {
    super(why.words(), null, false, false);
    this.why = why;
  }

  /** Returns the reason. */
  public Refusal why() {
    return why;
  }
}
