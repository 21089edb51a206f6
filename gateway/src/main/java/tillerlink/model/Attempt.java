package tillerlink.model;

/**
 * One attempt to execute a request on an engine. Times are tenths of a millisecond. Confined to the
 * event-loop thread.
 */
public final class Attempt {
  public final Request request;
  public final Engine engine;

  /** The index of this attempt among the attempts of its request, starting at 0. */
  public final int number;

  /** The time at which the policy placed the attempt on its engine. */
  public final long sentAt;

  /** The expected duration, as estimated when the attempt was placed. */
  public final long expectedTime;

  /**
   * The duration that the attempt would have alone on an engine of average speed, as estimated when
   * it was placed.
   */
  public final double nominalTime;

  /** Whether the attempt was sent to check if an outlier has recovered. */
  public final boolean healthCheck;

  /** Whether the action that sends the attempt was emitted. */
  private boolean sent;

  /** Whether the policy wants the attempt cancelled. */
  private boolean cancelRequested;

  /** Whether the action that cancels the attempt was emitted. */
  private boolean cancelSent;

  /** The time at which the first byte was sent; 0 until then. */
  private long writtenAt;

  /** The share that is completed, 0 to 1, as last reported by the engine. */
  private double completedShare;

  /** The outcome; null while the attempt is in flight. */
  public AttemptOutcome outcome;

  /**
   * Creates the next attempt of a request. The caller adds it to the request and to the engine.
   *
   * @param request the request to execute
   * @param engine the engine to execute it on
   * @param sentAt the time of the placement, in tenths of a millisecond
   * @param expectedTime the expected duration, in tenths of a millisecond
   * @param nominalTime the duration alone on an engine of average speed, in tenths of a millisecond
   * @param healthCheck whether the attempt checks if an outlier has recovered
   */
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

  /** Returns whether the attempt has not ended. */
  public boolean isInFlight() {
    return outcome == null;
  }

  /** Returns whether this attempt may have executed the request or may still execute it. */
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
