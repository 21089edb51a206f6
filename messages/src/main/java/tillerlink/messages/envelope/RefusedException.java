package tillerlink.messages.envelope;

/** Signals that a received datagram is refused. */
public final class RefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Refusal reason;

  /**
   * Creates an exception without a stack trace, because many may be thrown and the trace is not
   * used.
   */
  public RefusedException(Refusal reason) {
    super(reason.description(), null, false, false);
    this.reason = reason;
  }

  /** Returns the reason of the refusal. */
  public Refusal reason() {
    return reason;
  }
}
