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
  public boolean queued;

  /** Nobody waits for its answer at present, but the client may ask again. */
  public boolean unattended;

  /** The response has begun to reach the client. */
  public boolean responseStarted;

  /** Null until it has ended for the client. */
  public RequestOutcome outcome;

  /** When its client was seen to have disconnected; later than any time before. */
  public long disconnectedAt = Long.MAX_VALUE;

  /** Why the policy terminated it; null if it did not. */
  public TerminationReason terminationReason;

  /** No engine can serve it. */
  public boolean unservable;

  /** Its client has an answer, or the action for it was emitted. */
  public boolean notified;

  /** How long a rejected client should stay away. */
  public long retryAfter;

  /** The wanted priority and grant, and those that were sent last. */
  public int priority = 1;

  public int prioritySent = 1;
  public long grant;
  public long grantSent;

  /** When it is to be reviewed next. */
  public long wakeAt = Long.MAX_VALUE;

  /** It may have changed since the actions were reconciled last. */
  public boolean reconcilePending;

  /** Creates a request that has just arrived. */
  public Request(
      Object tag,
      int classIndex,
      int tableGroup,
      boolean repeat,
      long arrivedAt,
      long clientDeadline,
      double estimate,
      double memoryEstimate,
      KeyedRequestQueue line) {
    this.tag = tag;
    this.classIndex = classIndex;
    this.tableGroup = tableGroup;
    this.repeat = repeat;
    this.arrivedAt = arrivedAt;
    this.clientDeadline = clientDeadline;
    this.workEstimate = estimate;
    this.memoryEstimate = memoryEstimate;
    this.keyQueue = line;
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
}
