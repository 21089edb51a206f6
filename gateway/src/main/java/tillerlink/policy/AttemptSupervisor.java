package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.model.RequestTimers;

/**
 * Watches the attempts in flight: gives those up that are silent or slow if another attempt is
 * worth it, and learns from those that end. Times are tenths of a millisecond. Used by the event
 * loop alone.
 */
final class AttemptSupervisor {
  /** An attempt in flight is reviewed at most so many times in the smallest latency objective. */
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

  /** An engine reported which share of an attempt is done. */
  void recordProgress(long now, Attempt attempt, double completedShare) {
    attempt.setCompletedShare(completedShare);
    boolean badPlan = RetryPolicy.hasBadPlan(now, attempt);
    LoadEstimator.recordProgress(now, attempt, RetryPolicy.projectedTime(now, attempt));
    limiter.adjustLimit(now, attempt.engine);
    if (badPlan
        && attempt.request.outcome == null
        && retryPolicy.mayRetryAfterCancel(now, attempt.request)) {
      reconciler.cancel(attempt);
    }
  }

  /**
   * An attempt ended.
   *
   * @param duration time from the sending to the end
   * @param work true work, 0 if the engine did not report it
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

  /** Looks at the attempt of a request that is in flight, and sets the time of the next look. */
  void review(long now, Request request) {
    Attempt attempt = request.attempts.get(request.attempts.size() - 1);
    long silentFor = now - Math.max(attempt.engine.lastResponseAt(), attempt.sentAt);
    long limit = outliers.silenceLimit(attempt);
    if (silentFor >= limit) {
      outliers.recordSilence(now, attempt.engine);
      if (retryPolicy.mayRetryAfterCancel(now, request)) {
        reconciler.cancel(attempt);
      }
    }
    long shortest = config.minLatencyObjective / REVIEWS_PER_OBJECTIVE;
    long pause =
        attempt.isCancelRequested()
            ? config.minLatencyObjective
            : Math.max(limit - Math.max(0, silentFor), shortest);
    timers.set(request, Math.min(deadlines.tooLateAt(now, request), now + pause));
  }
}
