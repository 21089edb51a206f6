package tillerlink.model;

import java.util.ArrayList;
import java.util.List;

/**
 * A request of a client, and how far it has come. Times are tenths of a millisecond; used by the
 * event loop alone.
 */
public final class Request {
  /** The handle of the code that runs the policy, which never looks at it. */
  public final Object tag;

  public final int classIndex;
  public final int tableGroup;

  /** The client has sent it before. */
  public final boolean repeat;

  public final long arrivedAt;

  /** When the client stops waiting. */
  public final long clientDeadline;

  /** Estimate of the work of all its threads, as time on one; 0 if none was given. */
  public final double workEstimate;

  /** Estimate of the memory that it needs, in MB; 0 if none was given. */
  public final double memoryEstimate;

  /** The requests of its key, or null if it has none. */
  public final KeyedRequestQueue keyQueue;

  public RequestClass requestClass;
  public final List<Attempt> attempts = new ArrayList<>(1);
  public int attemptsInFlight;

  /** It is in the queue of its request class. */
  private boolean queued;

  /** Nobody waits for its answer at present, but the client may ask again. */
  public boolean unattended;

  /** The response has begun to reach the client. */
  private boolean responseStarted;

  /** Null until it has ended for the client. */
  public RequestOutcome outcome;

  /** When its client was seen to have disconnected; later than any time before. */
  public long disconnectedAt = Long.MAX_VALUE;

  /** Why the policy terminated it; null if it did not. */
  public TerminationReason terminationReason;

  /** No engine can serve it. */
  private boolean unservable;

  /** Its client has an answer, or the action for it was emitted. */
  private boolean notified;

  /** How long a rejected client should stay away. */
  private long retryAfter;

  /** The wanted priority and grant, and those that were sent last. */
  private int priority = 1;

  private int prioritySent = 1;
  private long grant;
  private long grantSent;

  /** When it is to be reviewed next. */
  private long wakeAt = Long.MAX_VALUE;

  /** It may have changed since the actions were reconciled last. */
  private boolean reconcilePending;

  /** Creates a request that has just arrived. */
  public Request(
      Object tag,
      int classIndex,
      int tableGroup,
      boolean repeat,
      long arrivedAt,
      long clientDeadline,
      double workEstimate,
      double memoryEstimate,
      KeyedRequestQueue keyQueue) {
    this.tag = tag;
    this.classIndex = classIndex;
    this.tableGroup = tableGroup;
    this.repeat = repeat;
    this.arrivedAt = arrivedAt;
    this.clientDeadline = clientDeadline;
    this.workEstimate = workEstimate;
    this.memoryEstimate = memoryEstimate;
    this.keyQueue = keyQueue;
  }

  /** Whether it has a key, and its request class keeps the order of a key's requests. */
  public boolean ordered() {
    return keyQueue != null && requestClass.config.keepsOrder();
  }

  /** The first of the other engines that failed on it, or null. */
  public Engine otherFailedEngine(Engine engine) {
    return attempts.stream()
        .filter(attempt -> attempt.outcome == AttemptOutcome.FAILED && attempt.engine != engine)
        .map(attempt -> attempt.engine)
        .findFirst()
        .orElse(null);
  }

  /** Whether it has ended and no attempt is in flight. */
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

  public long wakeAt() {
    return wakeAt;
  }

  public void setWakeAt(long wakeAt) {
    this.wakeAt = wakeAt;
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
