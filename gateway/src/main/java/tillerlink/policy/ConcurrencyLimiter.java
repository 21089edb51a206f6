package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.RequestClass;

/**
 * Limits the threads that this gateway has in use on each engine. The limit is the engine's cores,
 * divided by the number of gateways, times a factor that falls while the engine's pace is far above
 * the best and grows again while it is not. It applies to an overloaded engine, and to all while
 * many are impaired. Times are tenths of a millisecond. Used by the event loop alone.
 */
final class ConcurrencyLimiter {
  /**
   * Threads for each core at which the limit starts: a thread is on its core for part of its time
   * only.
   */
  static final double INITIAL_FACTOR = 1;

  private static final double MIN_FACTOR = 0.27;
  private static final double FACTOR_DECREASE = 0.85;
  private static final double FACTOR_INCREASE = 0.05;

  /** Mean age of the attempts in flight, in multiples of the best time, of a stalled engine. */
  private static final double STALLED_PACE = 2.6;

  /** Share of impaired engines from which on the limit applies to all. */
  private static final double IMPAIRED_SHARE = 0.25;

  /** All request classes together, in limits of one: they share the cores. */
  private static final double ALL_CLASSES = 1.5;

  /** The capacity that an engine has for a request class, the most desirable first. */
  enum Capacity {
    /** Within the limit, or no limit applies. */
    WITHIN_LIMIT,
    /** Above the limit, but the one request of a class that is always allowed. */
    SINGLE_REQUEST,
    /** The same on an overloaded engine, which comes last. */
    SINGLE_REQUEST_OVERLOADED,
    /** None. */
    NONE
  }

  private final PolicyConfig config;
  private final EngineRegistry registry;
  private final LoadEstimator estimator;
  private final LoadReports reports;
  private final OutlierDetector outliers;
  private final FleetSurvey survey;
  private boolean limitsAllEngines;

  ConcurrencyLimiter(PolicyConfig config, FleetMeasurements measurements) {
    this.config = config;
    registry = measurements.registry();
    estimator = measurements.estimator();
    reports = measurements.reports();
    outliers = measurements.outliers();
    survey = measurements.survey();
  }

  /**
   * Sums up the ready engines. If a quarter of them are overloaded or outliers, the limit applies
   * to all, and so it does if a pool is exhausted; but not while recent attempts ended at an easy
   * pace, for a gateway may have several times its share of the traffic. Guards against cascading
   * overload: what the impaired engines may not take would all go to the next one that shows
   * nothing yet. It may hurt while the rest are idle.
   */
  void surveyFleet(long now) {
    survey.reset();
    for (RequestClass requestClass : estimator.requestClasses()) {
      survey.offeredWork += requestClass.offeredWork().at(now);
      requestClass.setEligibleCores(0);
    }
    for (Engine engine : registry.engines()) {
      if (engine.status == Status.READY) {
        surveyEngine(now, engine);
      }
    }
    limitsAllEngines =
        survey.impaired >= IMPAIRED_SHARE * survey.ready
            || (!estimator.isRecentPaceEasy(now)
                && (isPoolExhausted(false) || isPoolExhausted(true)));
    survey.finish();
  }

  private void surveyEngine(long now, Engine engine) {
    if (isStalled(now, engine)) {
      markOverloaded(now, engine);
      reduceLimit(now, engine);
    }
    double cores = config.cores(engine);
    survey.ready++;
    survey.cores += cores;
    for (RequestClass requestClass : estimator.requestClasses()) {
      if (requestClass.config.allows(engine)) {
        requestClass.setEligibleCores(requestClass.eligibleCores() + cores);
      }
    }
    boolean overloaded = isOverloaded(now, engine);
    survey.addHealth(overloaded, outliers.isOutlier(now, engine), engine.pace().at(now));
    if (reports.isRecent(now, engine)) {
      survey.reporting++;
      survey.utilization += engine.reportedUtilization();
    }
    survey.addToPool(overloaded, limit(engine), threads(now, engine));
  }

  /**
   * Guards against an overload that hides itself: an engine that answers little shows no pace, so
   * the age of the attempts in flight there counts too, and so do 1.5 times its cores in threads
   * from here alone: a gateway that just started sends these before it learns. It should hold
   * against any stall; it may hurt where estimates are poor.
   */
  private boolean isStalled(long now, Engine engine) {
    double ages = 0;
    for (Attempt attempt : engine.inFlight) {
      RequestClass requestClass = attempt.request.requestClass;
      double usual =
          requestClass.bestPace() > 0
              ? attempt.nominalTime * requestClass.bestPace()
              : requestClass.config.latencyObjective() / LoadEstimator.SLOW_PACE;
      ages += Math.min(LoadEstimator.MAX_PACE, (now - attempt.sentAt) / Math.max(1, usual));
    }
    return ages > STALLED_PACE * engine.inFlight.size()
        || engine.threadsInFlight() >= ALL_CLASSES * config.cores(engine);
  }

  /**
   * The capacity of an engine for a request class: within its limit, or that of the single request
   * that is always allowed. Guards against an overload that never drains: one request of each
   * gateway may be more than the engine bears, so on an overloaded engine it comes last, and alone.
   */
  Capacity capacity(long now, Engine engine, RequestClass requestClass) {
    boolean overloaded = isOverloaded(now, engine);
    int threadsPerRequest = requestClass.config.threadsPerRequest();
    int ownThreads = engine.inFlightOfClass(requestClass.index) * threadsPerRequest;
    double limit = limit(engine);
    double threads = threads(now, engine);
    boolean classFits = ownThreads > 0 ? ownThreads < limit : threadsPerRequest <= limit;
    if ((classFits && threads < ALL_CLASSES * limit) || (!limitsAllEngines && !overloaded)) {
      return Capacity.WITHIN_LIMIT;
    }
    double allowed =
        Math.max(
            ALL_CLASSES * limit, overloaded ? threadsPerRequest : config.threadsOfOneRequestEach);
    if (ownThreads > 0 || threads + threadsPerRequest > allowed) {
      return Capacity.NONE;
    }
    return overloaded ? Capacity.SINGLE_REQUEST_OVERLOADED : Capacity.SINGLE_REQUEST;
  }

  /** Whether a pool of engines has no threads left for a request with such a capacity. */
  boolean isExhausted(Capacity capacity) {
    return capacity != Capacity.WITHIN_LIMIT
        && isPoolExhausted(capacity == Capacity.SINGLE_REQUEST_OVERLOADED);
  }

  /**
   * Whether the threads in use on the overloaded engines, or on the others, are above their limits
   * together. Guards against an overload that the single requests keep up; it may hurt a gateway
   * with most of the traffic.
   */
  private boolean isPoolExhausted(boolean overloaded) {
    return survey.poolThreads(overloaded)
        >= ALL_CLASSES * Math.max(survey.poolLimit(overloaded), config.threadsOfOneRequestEach);
  }

  /** Whether the limit applies to all engines, as of the last survey. */
  boolean limitsAllEngines() {
    return limitsAllEngines;
  }

  /** Threads of this gateway that an engine may have in use. */
  double limit(Engine engine) {
    return config.cores(engine) / config.gateways * engine.concurrencyFactor();
  }

  /**
   * Threads in flight, and those of attempts that timed out where nothing can be cancelled. Guards
   * against work that runs on unseen and keeps an overload alive, on an engine that has responded
   * meanwhile: after a lost connection nothing may have run.
   */
  private static double threads(long now, Engine engine) {
    return engine.threadsInFlight() + engine.abandonedThreads().at(now);
  }

  private static boolean isOverloaded(long now, Engine engine) {
    return now < engine.overloadedUntil();
  }

  /** An engine counts as overloaded for a latency objective from now on. */
  void markOverloaded(long now, Engine engine) {
    engine.setOverloadedUntil(now + config.maxLatencyObjective);
  }

  /** Takes in how an attempt ended. */
  void recordOutcome(long now, Attempt attempt, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.REJECTED) {
      markOverloaded(now, attempt.engine);
      reduceLimit(now, attempt.engine);
    } else if (outcome == AttemptOutcome.TIMED_OUT
        && !OutlierDetector.isSilentSince(attempt)
        && !config.mayCancel) {
      attempt
          .engine
          .abandonedThreads()
          .add(now, attempt.request.requestClass.config.threadsPerRequest());
    }
  }

  /** Reduces the limit while the pace is far above the best, and raises it while it is easy. */
  void adjustLimit(long now, Engine engine) {
    double pace = engine.pace().at(now);
    if (pace > LoadEstimator.SLOW_PACE) {
      markOverloaded(now, engine);
      reduceLimit(now, engine);
    } else if (pace < LoadEstimator.EASY_PACE && (isLimitReached(engine) || hasQueuedRequest())) {
      double largest = config.gateways * LoadEstimator.SLOW_PACE / ALL_CLASSES;
      engine.setConcurrencyFactor(Math.min(largest, engine.concurrencyFactor() + FACTOR_INCREASE));
    }
  }

  private boolean isLimitReached(Engine engine) {
    return limitedThreads(engine) + 1 >= limit(engine);
  }

  private boolean hasQueuedRequest() {
    return estimator.requestClasses().stream()
        .anyMatch(requestClass -> requestClass.firstQueued() != null);
  }

  /** Threads in flight of the class with the most, or those of all in limits of one class. */
  private static double limitedThreads(Engine engine) {
    return Math.max(engine.threadsOfLargestClass(), engine.threadsInFlight() / ALL_CLASSES);
  }

  private void reduceLimit(long now, Engine engine) {
    if (now >= engine.limitReducedAt()) {
      double used = limitedThreads(engine) / (config.cores(engine) / config.gateways);
      double factor = Math.min(engine.concurrencyFactor(), Math.max(used, INITIAL_FACTOR));
      engine.setConcurrencyFactor(Math.max(MIN_FACTOR, factor * FACTOR_DECREASE));
      engine.setLimitReducedAt(now + config.minLatencyObjective);
    }
  }
}
