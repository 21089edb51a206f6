package tillerlink.policy;

import tillerlink.model.Request;

/**
 * The moments that matter to a request, as times of the event loop's clock in tenths of a
 * millisecond.
 */
final class RequestDeadlines {
  /** Margin on an estimated latency objective before a response is too late. */
  private static final double LATE_MARGIN = 1.25;

  private final long tick;
  private final LoadEstimator estimator;

  RequestDeadlines(PolicyConfig config, LoadEstimator estimator) {
    tick = config.tick;
    this.estimator = estimator;
  }

  /** The last moment at which a final answer is surely in time. */
  long lastAnswerAt(Request request) {
    return request.clientDeadline - 2 * tick;
  }

  /** From this moment on an answer is of no use. */
  long tooLateAt(long now, Request request) {
    return request.requestClass.config.latePriorityWeight() > 0
        ? lastAnswerAt(request)
        : Math.min(
            lastAnswerAt(request),
            (long)
                (request.arrivedAt + LoadEstimator.latencyObjective(now, request) * LATE_MARGIN));
  }

  /** From this moment on a queued request can't meet its latency objective even if sent at once. */
  long unableToMeetAt(long now, Request request) {
    long objectiveEnd =
        Math.min(
            request.clientDeadline,
            request.arrivedAt + LoadEstimator.latencyObjective(now, request));
    return Math.min(objectiveEnd - estimator.usualTime(now, request) + 1, lastAnswerAt(request));
  }
}
