package tillerlink.policy;

import tillerlink.model.Request;

/**
 * Computes the deadlines of requests, as times of the event loop's clock in tenths of a
 * millisecond.
 */
final class RequestDeadlines {
  /**
   * Factor on the latency objective, which may depend on estimated work, after which an answer is
   * too late.
   */
  private static final double LATE_MARGIN = 1.25;

  private final long tick;
  private final LoadEstimator estimator;

  RequestDeadlines(PolicyConfig config, LoadEstimator estimator) {
    tick = config.tick;
    this.estimator = estimator;
  }

  /** Returns the last time at which a final answer is certainly in time for the client. */
  long lastAnswerAt(Request request) {
    return request.clientDeadline - 2 * tick;
  }

  /**
   * Returns the time from which on an answer is worthless: the last time that is in time for the
   * client or, if the request class gives no weight to late answers and this is earlier, the end of
   * the latency objective with a margin.
   */
  long tooLateAt(long now, Request request) {
    return request.requestClass.config.latePriorityWeight() > 0
        ? lastAnswerAt(request)
        : Math.min(
            lastAnswerAt(request),
            (long)
                (request.arrivedAt + LoadEstimator.latencyObjective(now, request) * LATE_MARGIN));
  }

  /**
   * Returns the time from which on a queued request can't meet its latency objective even if it is
   * sent at once.
   */
  long objectiveUnreachableAt(long now, Request request) {
    long objectiveEnd =
        Math.min(
            request.clientDeadline,
            request.arrivedAt + LoadEstimator.latencyObjective(now, request));
    return Math.min(objectiveEnd - estimator.usualTime(now, request) + 1, lastAnswerAt(request));
  }
}
