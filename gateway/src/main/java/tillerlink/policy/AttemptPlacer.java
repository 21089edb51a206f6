package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.Engine;
import tillerlink.model.Request;
import tillerlink.model.RequestTimers;

/**
 * Places an attempt on the engine that was selected for it, and records it at the request, the
 * engine, the retry budget and slow start. Times are tenths of a millisecond. Used only by the
 * event loop's thread.
 */
final class AttemptPlacer {
  /** Number of most recently used table groups that an engine is assumed to have in its cache. */
  private static final int CACHED_TABLE_GROUPS = 4;

  private final LoadEstimator estimator;
  private final MemoryGrants grants;
  private final RetryBudget budget;
  private final OutlierDetector outliers;
  private final SlowStart slowStart;
  private final RequestDeadlines deadlines;
  private final RequestTimers timers;
  private final ActionReconciler reconciler;

  AttemptPlacer(
      FleetMeasurements measurements,
      MemoryGrants grants,
      RetryBudget budget,
      RequestDeadlines deadlines,
      RequestTimers timers,
      ActionReconciler reconciler) {
    estimator = measurements.estimator();
    outliers = measurements.outliers();
    slowStart = measurements.slowStart();
    this.grants = grants;
    this.budget = budget;
    this.deadlines = deadlines;
    this.timers = timers;
    this.reconciler = reconciler;
  }

  /**
   * Places an attempt of a request on an engine. The attempt is sent when the actions are
   * reconciled.
   */
  void place(long now, Request request, Engine engine) {
    request.setPriority(estimator.priority(now, request));
    grants.update(now, request, engine);
    if (!request.attempts.isEmpty()) {
      budget.recordRetry(now);
    }
    Attempt attempt =
        new Attempt(
            request,
            engine,
            now,
            LoadEstimator.expectedTime(now, request, engine),
            LoadEstimator.nominalTime(now, request),
            outliers.isOutlier(now, engine));
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    engine.attemptStarted(attempt, CACHED_TABLE_GROUPS);
    slowStart.recordSent(now, engine, LoadEstimator.work(now, request));
    reconciler.markChanged(request);
    timers.set(
        request, Math.min(deadlines.lastAnswerAt(request), now + outliers.silenceLimit(attempt)));
  }
}
