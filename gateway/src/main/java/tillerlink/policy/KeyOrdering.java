package tillerlink.policy;

import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.model.RequestTimers;

/**
 * Keeps the requests of a key in order, one at a time. Times are tenths of a millisecond. Used by
 * the event loop alone.
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
   * Queues the next of a key's requests when all before it are over and their cooldown has passed;
   * does nothing for a request without order.
   */
  void advance(long now, Request request) {
    Request next = request.ordered() ? request.keyQueue.firstUnfinished() : null;
    if (next == null || next.outcome != null || next.isQueued() || !next.attempts.isEmpty()) {
      return;
    }
    long cooldownUntil = request.keyQueue.cooldownUntil;
    if (now >= cooldownUntil) {
      queues.addLast(next);
    } else if (cooldownUntil < next.wakeAt()) {
      timers.set(next, cooldownUntil);
    }
  }

  /** Starts the cooldown of a key after an attempt that may still be running. */
  void recordOutcome(long now, Request request, AttemptOutcome outcome) {
    if (request.ordered() && outcome.mayStillBeRunning) {
      request.keyQueue.cooldownUntil =
          Math.max(request.keyQueue.cooldownUntil, now + config.keyCooldown);
    }
  }
}
