package tillerlink.messages.envelope;

/** A datagram that is passed over. */
public final class RefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Refusal why;

  public RefusedException(Refusal why) {
    // Many of these may come, and nobody asks from where: no stack is walked.
    super(why.words(), null, false, false);
    this.why = why;
  }

  public Refusal why() {
    return why;
  }
}
