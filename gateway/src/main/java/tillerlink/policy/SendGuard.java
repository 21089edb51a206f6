package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.Effect;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.model.RequestClassConfig;

/**
 * The one guard in front of every attempt. It is called when an engine is chosen and again right
 * before the bytes are passed to a connection, since connecting, an event-loop iteration or a pause
 * of the process may lie between the two. Times are tenths of a millisecond.
 */
public final class SendGuard {
  /**
   * How long after it was allowed an attempt may still be written: later, the reasons for it may
   * have changed unseen.
   */
  public static final long MAX_WRITE_DELAY = 1_000;

  private final long tick;
  private long listUsableUntil = Long.MAX_VALUE;

  /**
   * Creates a guard to which the endpoint list is usable at any time.
   *
   * @param tick the resolution of the settings' times
   */
  public SendGuard(long tick) {
    this.tick = tick;
  }

  /** The endpoint list may be used for new attempts before that moment. */
  public void setListUsableUntil(long until) {
    listUsableUntil = until;
  }

  /**
   * Whether a request may be sent to an engine once the list is confirmed: its state, placement and
   * repeats.
   */
  public SendVerdict checkEndpoint(long now, Request request, Engine engine) {
    return checkEndpoint(now, request, engine, null);
  }

  /** Whether a request may be sent to an engine now. */
  public SendVerdict checkPlacement(long now, Request request, Engine engine) {
    return now < listUsableUntil
        ? checkEndpoint(now, request, engine)
        : SendVerdict.LIST_UNCONFIRMED;
  }

  /** Whether an attempt that was placed may be written now. */
  public SendVerdict checkWrite(long now, Attempt attempt) {
    Request request = attempt.request;
    if (request.outcome != null) {
      return SendVerdict.REQUEST_ENDED;
    }
    if (request.unattended) {
      return SendVerdict.CLIENT_GONE;
    }
    if (attempt.isCancelRequested()) {
      return SendVerdict.CANCELLED;
    }
    if (now >= request.clientDeadline) {
      return SendVerdict.NO_TIME_LEFT;
    }
    if (now >= listUsableUntil) {
      return SendVerdict.LIST_UNCONFIRMED;
    }
    if (request.ordered() && request.keyQueue.firstUnfinished() != request) {
      return SendVerdict.ORDER;
    }
    return checkEndpoint(now, request, attempt.engine, attempt);
  }

  /** The last moment at which the first byte of an attempt may go out that is allowed now. */
  public long writeDeadline(long now, Attempt attempt) {
    return Math.min(
        now + MAX_WRITE_DELAY, Math.min(listUsableUntil, attempt.request.clientDeadline));
  }

  /**
   * @param next the attempt that is about to begin there, or null if it has yet to be placed
   */
  private SendVerdict checkEndpoint(long now, Request request, Engine engine, Attempt next) {
    if (engine.status != Status.READY) {
      return SendVerdict.ENGINE_NOT_READY;
    }
    if (!request.requestClass.config.allows(engine)) {
      return SendVerdict.PLACEMENT;
    }
    return mayRepeat(now, request, engine, next) ? SendVerdict.ALLOWED : SendVerdict.REPEAT;
  }

  private boolean mayRepeat(long now, Request request, Engine engine, Attempt next) {
    RequestClassConfig classConfig = request.requestClass.config;
    if (request.attempts.isEmpty() || classConfig.effect() == Effect.PURE) {
      return true;
    }
    for (Attempt attempt : request.attempts) {
      if (attempt == next || !attempt.mayHaveRun()) {
        continue;
      }
      if (classConfig.effect() == Effect.EFFECTFUL
          || !classConfig.deduplicationGroup().covers(attempt.engine, engine)
          || now + tick >= attempt.sentAt + classConfig.deduplicationWindow()) {
        return false;
      }
    }
    return true;
  }
}
