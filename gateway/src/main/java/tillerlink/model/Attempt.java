package tillerlink.model;

/** One sending of a request to an engine. */
public final class Attempt {
  public final Request request;
  public final Engine engine;
  public final int number;
  public final long sentAt;

  /** Time it is expected to take, as judged when it was placed. */
  public final long expectedTime;

  /** Time it would take alone on an ordinary engine, as judged when it was placed. */
  public final double nominalTime;

  /** Sent to learn whether a doubtful engine is back. */
  public final boolean healthCheck;

  public boolean sent;
  public boolean cancelRequested;
  public boolean cancelSent;

  /** When its first byte went out; 0 while none has. */
  public long writtenAt;

  /** Share done, as last noted. */
  public double completedShare;

  /** Null while it is out. */
  public AttemptOutcome outcome;

  public Attempt(
      Request request, Engine engine, long sentAt, long expected, double nominal, boolean trial) {
    this.request = request;
    this.engine = engine;
    this.number = request.attempts.size();
    this.sentAt = sentAt;
    this.expectedTime = expected;
    this.nominalTime = nominal;
    this.healthCheck = trial;
  }

  public boolean isInFlight() {
    return outcome == null;
  }

  public boolean mayHaveRun() {
    return outcome == null || !outcome.provesNotExecuted;
  }
}
