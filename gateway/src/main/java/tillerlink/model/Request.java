package tillerlink.model;

import java.util.ArrayList;
import java.util.List;

/**
 * A client's request and its progress through the gateway. Times are tenths of a millisecond.
 * Confined to the event-loop thread.
 */
public final class Request {
  /** An opaque handle of the code that runs the policy. The policy never reads it. */
  public final Object tag;

  public final int classIndex;
  public final int tableGroup;

  /** Whether the client has sent the request before. */
  public final boolean resent;

  public final long arrivedAt;

  /** The time at which the client stops waiting. */
  public final long clientDeadline;

  /**
   * The client's estimate of the work of all threads together, as time on a single thread; 0 if
   * none was given.
   */
  public final double workEstimate;

  /** The client's estimate of the memory that the request needs, in MB; 0 if none was given. */
  public final double memoryEstimate;

  /** The queue of the request's ordering key, or null if it has no key. */
  public final KeyedRequestQueue keyQueue;

  public RequestClass requestClass;
  public final List<Attempt> attempts = new ArrayList<>(1);
  public int attemptsInFlight;

  /** Whether the request is in the queue of its request class. */
  private boolean queued;

  /** Whether no client waits for the answer at present. The client may ask for it again. */
  public boolean unattended;

  /** Whether the client has started to receive the response. */
  private boolean responseStarted;

  /** The outcome for the client; null until there is one. */
  public RequestOutcome outcome;

  /** The time at which the client was found disconnected; {@code Long.MAX_VALUE} until then. */
  public long disconnectedAt = Long.MAX_VALUE;

  /** The reason why the policy terminated the request; null if it did not. */
  public TerminationReason terminationReason;

  /** Whether the request failed on two engines, which means that no engine can serve it. */
  private boolean unservable;

  /** Whether the client has its answer, or the action that sends it was emitted. */
  private boolean notified;

  /** The time after which a rejected client should retry; 0 gives no advice. */
  private long retryAfter;

  /**
   * The wanted priority, 0 to 3 with 3 the highest; the wanted memory grant, in megabytes; and the
   * values of both that were sent last.
   */
  private int priority = 1;

  private int prioritySent = 1;
  private long grant;
  private long grantSent;

  /** The timer of the next review; null if none is scheduled. */
  private RequestTimer timer;

  /** Whether the request may have changed since its actions were last reconciled. */
  private boolean reconcilePending;

  /**
   * Creates a request that has just arrived.
   *
   * @param tag an opaque handle of the code that runs the policy
   * @param classIndex the index of the request class
   * @param tableGroup the number of the request's table group
   * @param resent whether the client has sent the request before
   * @param arrivedAt the time of arrival, in tenths of a millisecond
   * @param clientDeadline the time at which the client stops waiting, in tenths of a millisecond
   * @param workEstimate the estimated work of all threads, as tenths of a millisecond on a single
   *     thread; 0 if none was given
   * @param memoryEstimate the estimated memory in MB; 0 if none was given
   * @param keyQueue the queue of the ordering key, or null if the request has no key
   */
  public Request(
      Object tag,
      int classIndex,
      int tableGroup,
      boolean resent,
      long arrivedAt,
      long clientDeadline,
      double workEstimate,
      double memoryEstimate,
      KeyedRequestQueue keyQueue) {
    this.tag = tag;
    this.classIndex = classIndex;
    this.tableGroup = tableGroup;
    this.resent = resent;
    this.arrivedAt = arrivedAt;
    this.clientDeadline = clientDeadline;
    this.workEstimate = workEstimate;
    this.memoryEstimate = memoryEstimate;
    this.keyQueue = keyQueue;
  }

  /**
   * Returns whether the request has a key and its request class executes the requests of a key in
   * order.
   */
  public boolean isOrdered() {
    return keyQueue != null && requestClass.config.keepsOrder();
  }

  /** Returns the first engine other than the given one that failed on this request, or null. */
  public Engine otherFailedEngine(Engine engine) {
    return attempts.stream()
        .filter(attempt -> attempt.outcome == AttemptOutcome.FAILED && attempt.engine != engine)
        .map(attempt -> attempt.engine)
        .findFirst()
        .orElse(null);
  }

  /** Returns whether the request has an outcome and no attempt in flight. */
  public boolean isOver() {
    return outcome != null && attemptsInFlight == 0;
  }

  public boolean isQueued() {
    return queued;
  }

  public void setQueued(boolean queued) {
    this.queued = queued;
  }

  public boolean isResponseStarted() {
    return responseStarted;
  }

  public void setResponseStarted(boolean responseStarted) {
    this.responseStarted = responseStarted;
  }

  public boolean isUnservable() {
    return unservable;
  }

  public void setUnservable(boolean unservable) {
    this.unservable = unservable;
  }

  public boolean isNotified() {
    return notified;
  }

  public void setNotified(boolean notified) {
    this.notified = notified;
  }

  public int priority() {
    return priority;
  }

  public void setPriority(int priority) {
    this.priority = priority;
  }

  public int prioritySent() {
    return prioritySent;
  }

  public void setPrioritySent(int prioritySent) {
    this.prioritySent = prioritySent;
  }

  public long grant() {
    return grant;
  }

  public void setGrant(long grant) {
    this.grant = grant;
  }

  public long grantSent() {
    return grantSent;
  }

  public void setGrantSent(long grantSent) {
    this.grantSent = grantSent;
  }

  /** Returns the time of the next review; {@code Long.MAX_VALUE} if none is scheduled. */
  public long wakeAt() {
    return timer == null ? Long.MAX_VALUE : timer.at();
  }

  RequestTimer timer() {
    return timer;
  }

  void setTimer(RequestTimer timer) {
    this.timer = timer;
  }

  public boolean isReconcilePending() {
    return reconcilePending;
  }

  public void setReconcilePending(boolean reconcilePending) {
    this.reconcilePending = reconcilePending;
  }

  public long retryAfter() {
    return retryAfter;
  }

  public void setRetryAfter(long retryAfter) {
    this.retryAfter = retryAfter;
  }
}
