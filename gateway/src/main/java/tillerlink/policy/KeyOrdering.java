package tillerlink.policy;

import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.model.RequestTimers;

/**
 * Runs the requests of a key in order, one at a time. Times are tenths of a millisecond. Used only
 * by the event loop's thread.
 */
final class KeyOrdering {
  private final PolicyConfig config;
  private final RequestQueues queues;
  private final RequestTimers timers;

  KeyOrdering(PolicyConfig config, RequestQueues queues, RequestTimers timers) {
    this.config = config;
    this.queues = queues;
    this.timers = timers;
  }

  /**
   * Queues the next request of a key once all earlier ones have ended and their cooldown has
   * passed. Does nothing for a request that is not ordered.
   */
  void advance(long now, Request request) {
    Request first = request.isOrdered() ? request.keyQueue.firstUnfinished() : null;
    if (first == null || first.outcome != null || first.isQueued() || !first.attempts.isEmpty()) {
      return;
    }
    long cooldownUntil = request.keyQueue.cooldownUntil;
    if (now >= cooldownUntil) {
      queues.addLast(first);
    } else if (cooldownUntil < first.wakeAt()) {
      timers.set(first, cooldownUntil);
    }
  }

  /** Starts the cooldown of a key after an attempt that may still be running. */
  void recordOutcome(long now, Request request, AttemptOutcome outcome) {
    if (request.isOrdered() && outcome.mayStillBeRunning) {
      request.keyQueue.cooldownUntil =
          Math.max(request.keyQueue.cooldownUntil, now + config.keyCooldown);
    }
  }
}
