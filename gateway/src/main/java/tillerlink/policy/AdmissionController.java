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

/**
 * Decides which requests wait for an engine, and terminates those that would come too late: load
 * shedding, and requests that are unable to meet their deadline. Times are tenths of a millisecond.
 * Used by the event loop alone.
 */
final class AdmissionController {
  /** Share of the time that the first request has used up, counted at the least. */
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

  /** Whether there is no endpoint list, or none recent enough. */
  void setEndpointsUnknown(boolean unknown) {
    endpointsUnknown = unknown;
  }

  /** How far the endpoint list may be trusted. */
  void setEndpointListState(EndpointListState state) {
    endpointListExpired = state == EndpointListState.EXPIRED;
  }

  /**
   * Why a queued request can't be sent to any engine, now or later; null if it can. The order of
   * the reasons decides which of several is reported.
   */
  TerminationReason reasonToTerminate(long now, Request request) {
    if (endpointsUnknown || endpointListExpired) {
      return TerminationReason.ENGINES_UNKNOWN;
    }
    if (isUnableToMeetDeadline(now, request)) {
      return TerminationReason.NO_TIME_LEFT;
    }
    return !request.attempts.isEmpty() && !budget.allowsAnother(now)
        ? TerminationReason.RETRY_BUDGET
        : null;
  }

  /**
   * Whether a queued request can't be answered within its latency objective any more. Guards
   * against clients that come with little time: while the limit applies to all engines, what they
   * abandon before it can end is not even sent once.
   */
  private boolean isUnableToMeetDeadline(long now, Request request) {
    return now >= deadlines.unableToMeetAt(now, request)
        && (now > request.arrivedAt
            || (limiter.limitsAllEngines()
                && now + estimator.usualTime(now, request) >= deadlines.lastAnswerAt(request)));
  }

  /**
   * Looks at a request that has no attempt in flight: ends it if it can't be answered in time, and
   * sets the time of the next look.
   */
  void reviewWaiting(long now, Request request) {
    ordering.advance(now, request);
    if (request.isQueued() && isUnableToMeetDeadline(now, request)) {
      terminate(now, request, TerminationReason.NO_TIME_LEFT);
    } else if (request.wakeAt() == Long.MAX_VALUE) {
      timers.set(
          request,
          request.isQueued() ? nextQueueReview(now, request) : deadlines.tooLateAt(now, request));
    }
  }

  private long nextQueueReview(long now, Request request) {
    return Math.max(now + config.tick, deadlines.unableToMeetAt(now, request));
  }

  /**
   * Guards against a queue in which all wait too long to be of use: the longer the first request
   * has waited, the smaller a new one must be, against the mean of its request class, to be kept.
   * It may hurt when one long wait is no queue.
   */
  void shedLoad(long now) {
    List<Request> recent = queues.recentlyQueued();
    // Terminating one may queue the next of its key, which is looked at as well.
    for (int i = 0; i < recent.size(); i++) {
      Request request = recent.get(i);
      if (request.isQueued() && request.outcome == null) {
        timers.set(request, nextQueueReview(now, request));
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
    double longestWait =
        Math.max(1, LoadEstimator.latencyObjective(now, first) - estimator.usualTime(now, first));
    double used = (now - first.arrivedAt) / longestWait;
    double largestWork =
        request.requestClass.work.at(now) * Math.max(0, 1 - used) / Math.max(MIN_USED_SHARE, used);
    return LoadEstimator.work(now, request) > largestWork;
  }

  /** Ends a request without success: rejected if it certainly has no effect, failed otherwise. */
  void terminate(long now, Request request, TerminationReason reason) {
    request.terminationReason = reason;
    boolean rejected = mayReject(request);
    request.outcome = rejected ? RequestOutcome.REJECTED : RequestOutcome.FAILED;
    if (rejected) {
      request.setRetryAfter(config.retryAfter);
    }
    reconciler.markChanged(request);
    reconciler.cancelAll(request);
    ordering.advance(now, request);
  }

  /** Whether a request may be rejected, so that its client may send it again. */
  private static boolean mayReject(Request request) {
    RequestClassConfig classConfig = request.requestClass.config;
    return classConfig.effect() == Effect.PURE
        || (classConfig.effect() == Effect.RECEIPTED
            && classConfig.deduplicationGroup() == DeduplicationGroup.ALL)
        || request.attempts.stream().noneMatch(Attempt::mayHaveRun);
  }
}
