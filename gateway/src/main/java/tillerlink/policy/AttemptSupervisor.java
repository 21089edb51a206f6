package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.model.RequestTimers;

/**
 * Supervises attempts in flight: cancels silent or slow ones if another attempt is worthwhile, and
 * updates the estimates from those that end. Times are tenths of a millisecond. Used only by the
 * event loop's thread.
 */
final class AttemptSupervisor {
  /** Maximum number of reviews of an attempt in flight during the smallest latency objective. */
  private static final int REVIEWS_PER_OBJECTIVE = 4;

  private final PolicyConfig config;
  private final LoadEstimator estimator;
  private final LoadReports reports;
  private final OutlierDetector outliers;
  private final ConcurrencyLimiter limiter;
  private final RetryPolicy retryPolicy;
  private final RequestDeadlines deadlines;
  private final RequestTimers timers;
  private final ActionReconciler reconciler;

  AttemptSupervisor(
      PolicyConfig config,
      FleetMeasurements measurements,
      ConcurrencyLimiter limiter,
      RetryPolicy retryPolicy,
      RequestDeadlines deadlines,
      RequestTimers timers,
      ActionReconciler reconciler) {
    this.config = config;
    estimator = measurements.estimator();
    reports = measurements.reports();
    outliers = measurements.outliers();
    this.limiter = limiter;
    this.retryPolicy = retryPolicy;
    this.deadlines = deadlines;
    this.timers = timers;
    this.reconciler = reconciler;
  }

  /**
   * Records the progress of an attempt that its engine reported. Cancels the attempt if it is
   * projected to be too slow and another attempt is worthwhile.
   *
   * @param completedShare the share of the attempt that is done, 0 to 1
   */
  void recordProgress(long now, Attempt attempt, double completedShare) {
    attempt.setCompletedShare(completedShare);
    boolean tooSlow = RetryPolicy.isProjectedTooSlow(now, attempt);
    LoadEstimator.recordProgress(now, attempt, RetryPolicy.projectedTime(now, attempt));
    limiter.adjustLimit(now, attempt.engine);
    if (tooSlow
        && attempt.request.outcome == null
        && retryPolicy.mayRetryAfterCancel(now, attempt.request)) {
      reconciler.cancel(attempt);
    }
  }

  /**
   * Updates the estimates, the concurrency limit and the outlier detection from an attempt that
   * ended.
   *
   * @param duration time from the sending to the end, in tenths of a millisecond
   * @param work true work in tenths of a millisecond, 0 if the engine did not report it
   * @param memory memory that was needed in MB, 0 if the engine did not report it
   * @param report load report of the engine, or null
   */
  void recordEnd(
      long now,
      Attempt attempt,
      AttemptOutcome outcome,
      long duration,
      double work,
      double memory,
      double[] report) {
    outliers.recordOutcome(now, attempt, outcome);
    limiter.recordOutcome(now, attempt, outcome);
    if (reports.record(now, attempt.engine, report)) {
      limiter.markOverloaded(now, attempt.engine);
    }
    if (outcome == AttemptOutcome.SUCCEEDED) {
      estimator.recordSuccess(now, attempt, duration, work, memory);
      limiter.adjustLimit(now, attempt.engine);
    }
  }

  /**
   * Reviews the latest attempt of a request, which is in flight, and sets the time of the next
   * review. An engine that has been silent for too long is recorded as such, and the attempt is
   * cancelled if another one is worthwhile.
   */
  void review(long now, Request request) {
    Attempt attempt = request.attempts.get(request.attempts.size() - 1);
    long silence = now - Math.max(attempt.engine.lastResponseAt(), attempt.sentAt);
    long silenceLimit = outliers.silenceLimit(attempt);
    if (silence >= silenceLimit) {
      outliers.recordSilence(now, attempt.engine);
      if (retryPolicy.mayRetryAfterCancel(now, request)) {
        reconciler.cancel(attempt);
      }
    }
    long minReviewDelay = config.minLatencyObjective / REVIEWS_PER_OBJECTIVE;
    long reviewDelay =
        attempt.isCancelRequested()
            ? config.minLatencyObjective
            : Math.max(silenceLimit - Math.max(0, silence), minReviewDelay);
    timers.set(request, Math.min(deadlines.tooLateAt(now, request), now + reviewDelay));
  }
}
