package tillerlink.policy;

import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.DeduplicationGroup;
import tillerlink.model.Effect;
import tillerlink.model.Request;
import tillerlink.model.RequestClassConfig;
import tillerlink.model.RequestOutcome;
import tillerlink.model.RequestTimers;
import tillerlink.model.TerminationReason;
import tillerlink.port.EndpointListState;

/**
 * Decides which requests wait for an engine, terminates those that would be answered too late, and
 * sheds load. Times are tenths of a millisecond. Used only by the event loop's thread.
 */
final class AdmissionController {
  /**
   * Lower bound of the share of its waiting time that the first queued request has used up. It
   * prevents a division by zero.
   */
  private static final double MIN_USED_SHARE = 1e-3;

  private final PolicyConfig config;
  private final RequestQueues queues;
  private final RequestTimers timers;
  private final KeyOrdering ordering;
  private final RetryBudget budget;
  private final LoadEstimator estimator;
  private final RequestDeadlines deadlines;
  private final ConcurrencyLimiter limiter;
  private final ActionReconciler reconciler;
  private boolean endpointsUnknown;
  private boolean endpointListExpired;

  AdmissionController(
      PolicyConfig config,
      RequestQueues queues,
      RequestTimers timers,
      KeyOrdering ordering,
      RetryBudget budget,
      LoadEstimator estimator,
      RequestDeadlines deadlines,
      ConcurrencyLimiter limiter,
      ActionReconciler reconciler) {
    this.config = config;
    this.queues = queues;
    this.timers = timers;
    this.ordering = ordering;
    this.budget = budget;
    this.estimator = estimator;
    this.deadlines = deadlines;
    this.limiter = limiter;
    this.reconciler = reconciler;
  }

  /**
   * Sets whether the endpoint list is unknown.
   *
   * @param unknown true if there is no endpoint list or the last one is not recent enough
   */
  void setEndpointsUnknown(boolean unknown) {
    endpointsUnknown = unknown;
  }

  /**
   * Sets how far the endpoint list can be trusted. While it is {@link EndpointListState#EXPIRED},
   * queued requests are terminated.
   */
  void setEndpointListState(EndpointListState state) {
    endpointListExpired = state == EndpointListState.EXPIRED;
  }

  /**
   * Returns the reason why a queued request can't be sent to any engine, now or later. If several
   * reasons apply, their order in this method determines which one is reported.
   *
   * @return the reason, or null if the request can be sent
   */
  TerminationReason terminationReason(long now, Request request) {
    if (endpointsUnknown || endpointListExpired) {
      return TerminationReason.ENGINES_UNKNOWN;
    }
    if (isObjectiveUnreachable(now, request)) {
      return TerminationReason.NO_TIME_LEFT;
    }
    return !request.attempts.isEmpty() && !budget.allowsAnother(now)
        ? TerminationReason.RETRY_BUDGET
        : null;
  }

  /**
   * Returns whether a queued request can't be answered within its latency objective any more. While
   * the concurrency limit applies to all engines, this includes a request that has just arrived and
   * can't be answered before its client stops waiting. Guards against clients that allow little
   * time: a request that its client would abandon before its end is not sent even once.
   */
  private boolean isObjectiveUnreachable(long now, Request request) {
    return now >= deadlines.objectiveUnreachableAt(now, request)
        && (now > request.arrivedAt
            || (limiter.limitsAllEngines()
                && now + estimator.usualTime(now, request) >= deadlines.lastAnswerAt(request)));
  }

  /**
   * Reviews a request that has no attempt in flight: terminates it if it can't be answered in time,
   * and otherwise sets the time of its next review.
   */
  void reviewWaiting(long now, Request request) {
    ordering.advance(now, request);
    if (request.isQueued() && isObjectiveUnreachable(now, request)) {
      terminate(now, request, TerminationReason.NO_TIME_LEFT);
    } else if (request.wakeAt() == Long.MAX_VALUE) {
      timers.set(
          request,
          request.isQueued() ? nextQueueReviewAt(now, request) : deadlines.tooLateAt(now, request));
    }
  }

  private long nextQueueReviewAt(long now, Request request) {
    return Math.max(now + config.tick, deadlines.objectiveUnreachableAt(now, request));
  }

  /**
   * Terminates newly queued requests that are too large for the present length of their queue. The
   * longer the first request of a queue has waited, the smaller a new one must be, relative to the
   * mean work of its request class, to remain queued. Guards against a queue in which every request
   * waits until its answer is too late. Requests are rejected needlessly where one long wait does
   * not mean that the queue is long.
   */
  void shedLoad(long now) {
    List<Request> recentlyQueued = queues.recentlyQueued();
    // Terminating a request may append the next request of its key, which is reviewed as well.
    for (int i = 0; i < recentlyQueued.size(); i++) {
      Request request = recentlyQueued.get(i);
      if (request.isQueued() && request.outcome == null) {
        timers.set(request, nextQueueReviewAt(now, request));
        if (isQueueTooLongFor(now, request)) {
          terminate(now, request, TerminationReason.QUEUE_TOO_LONG);
        }
      }
    }
    queues.clearRecentlyQueued();
  }

  private boolean isQueueTooLongFor(long now, Request request) {
    Request first = request.requestClass.firstQueued();
    if (first == request || !request.attempts.isEmpty()) {
      return false;
    }
    double maxWait =
        Math.max(1, LoadEstimator.latencyObjective(now, first) - estimator.usualTime(now, first));
    double usedShare = (now - first.arrivedAt) / maxWait;
    double maxWork =
        request.requestClass.work.valueAt(now)
            * Math.max(0, 1 - usedShare)
            / Math.max(MIN_USED_SHARE, usedShare);
    return LoadEstimator.work(now, request) > maxWork;
  }

  /**
   * Terminates a request without success: it is rejected if it certainly has no effect or may be
   * sent again, and fails otherwise.
   */
  void terminate(long now, Request request, TerminationReason reason) {
    request.terminationReason = reason;
    boolean rejected = mayReject(request);
    request.outcome = rejected ? RequestOutcome.REJECTED : RequestOutcome.FAILED;
    if (rejected) {
      request.setRetryAfter(config.retryAfter);
    }
    queues.remove(request);
    timers.cancel(request);
    reconciler.markChanged(request);
    reconciler.cancelAll(request);
    ordering.advance(now, request);
  }

  /** Returns whether a request may be rejected, which allows its client to send it again. */
  private static boolean mayReject(Request request) {
    RequestClassConfig classConfig = request.requestClass.config;
    return classConfig.effect() == Effect.PURE
        || (classConfig.effect() == Effect.RECEIPTED
            && classConfig.deduplicationGroup() == DeduplicationGroup.ALL)
        || request.attempts.stream().noneMatch(Attempt::mayHaveRun);
  }
}
