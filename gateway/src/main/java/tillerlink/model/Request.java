package tillerlink.model;

import java.util.ArrayList;
import java.util.List;

/** What a client asked for, and how far it has come. */
public final class Request {
  /** The door's own handle; the module never looks at it. */
  public final Object tag;

  public final int classIndex;
  public final int tableGroup;
  public final boolean repeat;
  public final long arrivedAt;

  /** When the client gives up on this try. */
  public final long clientDeadline;

  /** Estimate of the work of all its threads, as time on one; 0 if none was given. */
  public final double workEstimate;

  /** Estimate of the memory that it needs, in MB; 0 if none was given. */
  public final double memoryEstimate;

  /** Those that must run one after another, or null. */
  public final KeyedRequestQueue keyQueue;

  public RequestClass requestClass;
  public final List<Attempt> attempts = new ArrayList<>(1);
  public int attemptsInFlight;
  public boolean queued;

  /** Nobody waits for its answer at present. */
  public boolean unattended;

  /** The answer has begun to reach the client. */
  public boolean responseStarted;

  /** Null while an answer is owed. */
  public RequestOutcome outcome;

  /** When its client was seen to have left; later than any time while it was not. */
  public long disconnectedAt = Long.MAX_VALUE;

  /** Why the policy gave it up; null if it did not. */
  public TerminationReason terminationReason;

  /** No engine can use it. */
  public boolean unservable;

  public boolean notified;
  public long retryAfter;
  public int priority = 1;
  public int prioritySent = 1;
  public long grant;
  public long grantSent;
  public long wakeAt = Long.MAX_VALUE;
  public boolean reconcilePending;

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

  /** Its request class keeps an order, and it has a key. */
  public boolean ordered() {
    return keyQueue != null && requestClass.config.keepsOrder();
  }

  /** The first of the other engines that erred on it, or null. */
  public Engine otherFailedEngine(Engine engine) {
    return attempts.stream()
        .filter(attempt -> attempt.outcome == AttemptOutcome.FAILED && attempt.engine != engine)
        .map(attempt -> attempt.engine)
        .findFirst()
        .orElse(null);
  }

  /** Ended, with no attempt left of which anything more will be heard. */
  public boolean isOver() {
    return outcome != null && attemptsInFlight == 0;
  }
}
