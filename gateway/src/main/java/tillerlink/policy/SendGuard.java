package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.Effect;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.model.RequestClassConfig;
import tillerlink.port.SendVerdict;

/**
 * Guard that every attempt must pass. It is called when an engine is selected and again right
 * before the bytes are passed to a connection, since connecting, an event-loop iteration or a pause
 * of the process may lie between the two. Times are tenths of a millisecond.
 */
public final class SendGuard {
  /**
   * Time after its permission within which an attempt may be written, in tenths of a millisecond.
   * Later, the reasons for the permission may have changed unnoticed.
   */
  public static final long MAX_WRITE_DELAY = 1_000;

  private final long tick;
  private long listUsableUntil = Long.MAX_VALUE;

  /**
   * Creates a guard that allows the use of the endpoint list at any time.
   *
   * @param tick the resolution of the times in the settings, in tenths of a millisecond
   */
  public SendGuard(long tick) {
    this.tick = tick;
  }

  /** Sets the time before which the endpoint list may be used for new attempts. */
  public void setListUsableUntil(long usableUntil) {
    listUsableUntil = usableUntil;
  }

  /**
   * Checks whether a request may be sent to an engine once the endpoint list is confirmed. This
   * depends on the engine's status, the placement and the earlier attempts of the request.
   *
   * @return {@link SendVerdict#ALLOWED}, or the reason why it may not be sent
   */
  public SendVerdict checkEndpoint(long now, Request request, Engine engine) {
    return checkEndpoint(now, request, engine, null);
  }

  /**
   * Checks whether a request may be sent to an engine now.
   *
   * @return {@link SendVerdict#ALLOWED}, or the reason why it may not be sent
   */
  public SendVerdict checkPlacement(long now, Request request, Engine engine) {
    return now < listUsableUntil
        ? checkEndpoint(now, request, engine)
        : SendVerdict.LIST_UNCONFIRMED;
  }

  /**
   * Checks whether an attempt that was placed may be written now.
   *
   * @return {@link SendVerdict#ALLOWED}, or the reason why it may not be written
   */
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
    if (request.isOrdered() && request.keyQueue.firstUnfinished() != request) {
      return SendVerdict.ORDER;
    }
    return checkEndpoint(now, request, attempt.engine, attempt);
  }

  /**
   * Returns the last time at which the first byte of an attempt that is allowed now may be sent.
   */
  public long writeDeadline(long now, Attempt attempt) {
    return Math.min(
        now + MAX_WRITE_DELAY, Math.min(listUsableUntil, attempt.request.clientDeadline));
  }

  /**
   * Checks whether a request may be sent to an engine.
   *
   * @param nextAttempt the attempt that is about to start there, or null if it has not been placed
   *     yet
   * @return {@link SendVerdict#ALLOWED}, or the reason why it may not be sent
   */
  private SendVerdict checkEndpoint(long now, Request request, Engine engine, Attempt nextAttempt) {
    if (engine.status != Status.READY) {
      return SendVerdict.ENGINE_NOT_READY;
    }
    if (!request.requestClass.config.allows(engine)) {
      return SendVerdict.PLACEMENT;
    }
    return mayRepeat(now, request, engine, nextAttempt) ? SendVerdict.ALLOWED : SendVerdict.REPEAT;
  }

  private boolean mayRepeat(long now, Request request, Engine engine, Attempt nextAttempt) {
    RequestClassConfig classConfig = request.requestClass.config;
    if (request.attempts.isEmpty() || classConfig.effect() == Effect.PURE) {
      return true;
    }
    for (Attempt attempt : request.attempts) {
      if (attempt == nextAttempt || !attempt.mayHaveRun()) {
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
