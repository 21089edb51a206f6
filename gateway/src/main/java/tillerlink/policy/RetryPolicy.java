package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.Effect;
import tillerlink.model.Engine;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;

/**
 * Decides whether a request is worth another attempt, and whether a running attempt is slow enough
 * to be given up for one. Times are tenths of a millisecond. Used by the event loop alone.
 */
final class RetryPolicy {
  /** An attempt projected at this many times the usual time has a bad plan or hangs. */
  private static final double BAD_PLAN_PACE = 4;

  /** The same counts for more times the usual while too little of a request class was seen. */
  private static final double UNKNOWN_CLASS_MARGIN = 2;

  /** Share that an attempt counts as done at the least. */
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

  /** Whether the rules, the retry budget and the time left allow another attempt. */
  boolean isAnotherAttemptWorthwhile(long now, Request request) {
    return !request.isUnservable()
        && request.attempts.size() < config.maxAttempts
        && budget.allowsAnother(now)
        && now + estimator.usualTime(now, request) < deadlines.tooLateAt(now, request)
        && registry.engines().stream().anyMatch(engine -> mayRunOn(now, request, engine));
  }

  /** Whether it may go there now, or once the endpoint list is confirmed or the engine is warm. */
  private boolean mayRunOn(long now, Request request, Engine engine) {
    return guard.checkEndpoint(now, request, engine) == SendVerdict.ALLOWED;
  }

  /** Whether another attempt could follow if the one in flight were cancelled now. */
  boolean mayRetryAfterCancel(long now, Request request) {
    return request.requestClass.config.effect() != Effect.EFFECTFUL
        && isAnotherAttemptWorthwhile(now, request);
  }

  /** Time that an attempt will have taken in all, as its reported progress projects it. */
  static double projectedTime(long now, Attempt attempt) {
    return (now - attempt.sentAt) / Math.max(MIN_COMPLETED_SHARE, attempt.completedShare());
  }

  /**
   * Guards against bad plans, and against an attempt that hangs alone: what its progress projects
   * far beyond the usual time is sent anew; for an unknown request class the margin is larger. It
   * may hurt where single estimates are far too low.
   */
  static boolean hasBadPlan(long now, Attempt attempt) {
    RequestClass requestClass = attempt.request.requestClass;
    double margin = requestClass.bestPace() > 0 ? 1 : UNKNOWN_CLASS_MARGIN;
    double enginePace = Math.max(1, attempt.engine.pace().at(now));
    double usual =
        margin
            * attempt.nominalTime
            * Math.max(requestClass.pace.at(now), requestClass.bestPaceOrDefault() * enginePace);
    double projected = projectedTime(now, attempt);
    return projected > BAD_PLAN_PACE * usual
        && projected - (now - attempt.sentAt) > LoadEstimator.SLOW_PACE * usual;
  }
}
