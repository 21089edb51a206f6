package tillerlink.model;

/**
 * One sending of a request to an engine. Times are tenths of a millisecond; used by the event loop
 * alone.
 */
public final class Attempt {
  public final Request request;
  public final Engine engine;

  /** Its position among the attempts of the request, from 0. */
  public final int number;

  /** When it was placed on the engine. */
  public final long sentAt;

  /** Time that it is expected to take, as estimated when it was placed. */
  public final long expectedTime;

  /** Time that it would take alone on an ordinary engine, as estimated when it was placed. */
  public final double nominalTime;

  /** Sent to learn whether an outlier has recovered. */
  public final boolean healthCheck;

  /** The action to send it was emitted. */
  private boolean sent;

  /** It is to be cancelled. */
  private boolean cancelRequested;

  /** The action to cancel it was emitted. */
  private boolean cancelSent;

  /** When its first byte was sent; 0 before. */
  private long writtenAt;

  /** Share done, 0 to 1, as last reported. */
  private double completedShare;

  /** Null while it is in flight. */
  public AttemptOutcome outcome;

  /** Creates the next attempt of a request; the caller adds it to the request and the engine. */
  public Attempt(
      Request request,
      Engine engine,
      long sentAt,
      long expectedTime,
      double nominalTime,
      boolean healthCheck) {
    this.request = request;
    this.engine = engine;
    this.number = request.attempts.size();
    this.sentAt = sentAt;
    this.expectedTime = expectedTime;
    this.nominalTime = nominalTime;
    this.healthCheck = healthCheck;
  }

  /** Whether it has not ended. */
  public boolean isInFlight() {
    return outcome == null;
  }

  /** Whether the request may have been executed by it, now or later. */
  public boolean mayHaveRun() {
    return outcome == null || !outcome.provesNotExecuted;
  }

  public boolean isSent() {
    return sent;
  }

  public void setSent(boolean sent) {
    this.sent = sent;
  }

  public boolean isCancelRequested() {
    return cancelRequested;
  }

  public void setCancelRequested(boolean cancelRequested) {
    this.cancelRequested = cancelRequested;
  }

  public boolean isCancelSent() {
    return cancelSent;
  }

  public void setCancelSent(boolean cancelSent) {
    this.cancelSent = cancelSent;
  }

  public double completedShare() {
    return completedShare;
  }

  public void setCompletedShare(double completedShare) {
    this.completedShare = completedShare;
  }

  public long writtenAt() {
    return writtenAt;
  }

  public void setWrittenAt(long writtenAt) {
    this.writtenAt = writtenAt;
  }
}
