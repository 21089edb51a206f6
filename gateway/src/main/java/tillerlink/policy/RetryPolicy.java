package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.Effect;
import tillerlink.model.Engine;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;
import tillerlink.port.SendVerdict;

/**
 * Decides whether another attempt of a request is worthwhile, and whether an attempt in flight is
 * slow enough to be cancelled for it. Times are tenths of a millisecond. Used only by the event
 * loop's thread.
 */
final class RetryPolicy {
  /**
   * Projected time of an attempt, in multiples of the usual time, above which it has a bad query
   * plan or hangs.
   */
  private static final double TOO_SLOW_PACE = 4;

  /** Factor on the usual time while too few attempts of a request class have been measured. */
  private static final double UNMEASURED_CLASS_MARGIN = 2;

  /** Lower bound of the share of an attempt that counts as done. */
  private static final double MIN_COMPLETED_SHARE = 0.005;

  private final PolicyConfig config;
  private final EngineRegistry registry;
  private final SendGuard guard;
  private final RetryBudget budget;
  private final LoadEstimator estimator;
  private final RequestDeadlines deadlines;

  RetryPolicy(
      PolicyConfig config,
      EngineRegistry registry,
      SendGuard guard,
      RetryBudget budget,
      LoadEstimator estimator,
      RequestDeadlines deadlines) {
    this.config = config;
    this.registry = registry;
    this.guard = guard;
    this.budget = budget;
    this.estimator = estimator;
    this.deadlines = deadlines;
  }

  /** Returns whether the rules, the retry budget and the time left allow another attempt. */
  boolean isAnotherAttemptWorthwhile(long now, Request request) {
    return !request.isUnservable()
        && request.attempts.size() < config.maxAttempts
        && budget.allowsAnother(now)
        && now + estimator.usualTime(now, request) < deadlines.tooLateAt(now, request)
        && registry.engines().stream().anyMatch(engine -> mayRunOn(now, request, engine));
  }

  /**
   * Returns whether a request may be sent to an engine now, or once the endpoint list is confirmed
   * or the engine is warm.
   */
  private boolean mayRunOn(long now, Request request, Engine engine) {
    return guard.checkEndpoint(now, request, engine) == SendVerdict.ALLOWED;
  }

  /** Returns whether another attempt could follow if the one in flight were cancelled now. */
  boolean mayRetryAfterCancel(long now, Request request) {
    return request.requestClass.config.effect() != Effect.EFFECTFUL
        && isAnotherAttemptWorthwhile(now, request);
  }

  /**
   * Returns the total time of an attempt as projected from its reported progress, in tenths of a
   * millisecond.
   */
  static double projectedTime(long now, Attempt attempt) {
    return (now - attempt.sentAt) / Math.max(MIN_COMPLETED_SHARE, attempt.completedShare());
  }

  /**
   * Returns whether an attempt is projected to take so far beyond the usual time that another
   * attempt should replace it. Guards against bad query plans and against a single attempt that
   * hangs. The margin is larger for a request class without measurements. Attempts are cancelled
   * needlessly where single estimates are far too low.
   */
  static boolean isProjectedTooSlow(long now, Attempt attempt) {
    RequestClass requestClass = attempt.request.requestClass;
    double margin = requestClass.bestPace() > 0 ? 1 : UNMEASURED_CLASS_MARGIN;
    double enginePace = Math.max(1, attempt.engine.pace().valueAt(now));
    double usualTime =
        margin
            * attempt.nominalTime
            * Math.max(
                requestClass.pace.valueAt(now), requestClass.bestPaceOrDefault() * enginePace);
    double projectedTime = projectedTime(now, attempt);
    return projectedTime > TOO_SLOW_PACE * usualTime
        && projectedTime - (now - attempt.sentAt) > LoadEstimator.SLOW_PACE * usualTime;
  }
}
