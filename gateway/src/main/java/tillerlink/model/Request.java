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
  public final double estimate;

  /** Estimate of the memory that it needs, in MB; 0 if none was given. */
  public final double memoryEstimate;

  /** Those that must run one after another, or null. */
  public final KeyedRequestQueue line;

  public RequestClass requestClass;
  public final List<Attempt> attempts = new ArrayList<>(1);
  public int attemptsInFlight;
  public boolean held;

  /** Nobody waits for its answer at present. */
  public boolean unattended;

  /** The answer has begun to reach the client. */
  public boolean begun;

  /** Null while an answer is owed. */
  public RequestOutcome outcome;

  /** When its client was seen to have left; later than any time while it was not. */
  public long leftAt = Long.MAX_VALUE;

  /** Why the policy gave it up; null if it did not. */
  public TerminationReason terminationReason;

  /** No engine can use it. */
  public boolean unusable;

  public boolean told;
  public long retryAfter;
  public int rank = 1;
  public int rankSent = 1;
  public long grant;
  public long grantSent;
  public long wakeAt = Long.MAX_VALUE;
  public boolean changed;

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
    this.estimate = estimate;
    this.memoryEstimate = memoryEstimate;
    this.line = line;
  }

  /** Its request class keeps an order, and it has a key. */
  public boolean ordered() {
    return line != null && requestClass.terms.keepsOrder();
  }

  /** The first of the other engines that erred on it, or null. */
  public Engine erredElsewhere(Engine engine) {
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
