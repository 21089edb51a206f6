package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.RequestClass;

/**
 * Limits the threads that this gateway has in use on each engine. The limit is the engine's cores,
 * divided by the number of gateways, times a factor that is reduced while the engine's pace is far
 * above the best one and raised again while it is not. The limit applies to an overloaded engine,
 * and to all engines while many are impaired. Times are tenths of a millisecond. Used only by the
 * event loop's thread.
 */
final class ConcurrencyLimiter {
  /**
   * Initial limit in threads for each core. A thread occupies its core for only part of its time.
   */
  static final double INITIAL_FACTOR = 1;

  /** Lower bound of an engine's factor. */
  private static final double MIN_FACTOR = 0.27;

  /** Multiplier of the factor at each reduction. */
  private static final double FACTOR_DECREASE = 0.85;

  /** Increment of the factor each time it is raised. */
  private static final double FACTOR_INCREASE = 0.05;

  /**
   * Mean age of the attempts in flight, in multiples of their best time, above which an engine
   * counts as stalled.
   */
  private static final double STALLED_PACE = 2.6;

  /** Share of impaired engines from which on the limit applies to all engines. */
  private static final double MIN_IMPAIRED_SHARE = 0.25;

  /**
   * Limit of all request classes together, as a multiple of the limit of one class. It does not
   * grow with the number of classes, because they share the cores.
   */
  private static final double ALL_CLASSES_MULTIPLE = 1.5;

  /** Capacity that an engine has for a request class, in descending order of preference. */
  enum Capacity {
    /** The engine is within its limit, or no limit applies. */
    WITHIN_LIMIT,
    /**
     * The engine is above its limit, but may take the single request of a class that is always
     * allowed.
     */
    SINGLE_REQUEST,
    /** The same as {@link #SINGLE_REQUEST} on an overloaded engine, which is the last choice. */
    SINGLE_REQUEST_OVERLOADED,
    /** The engine has no capacity for the request class. */
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
   * Sums up the ready engines and determines whether the limit applies to all of them. It does if a
   * quarter of them are overloaded or outliers, or if a pool of engines is exhausted. An exhausted
   * pool does not count while the pace of recent attempts is below {@link LoadEstimator#EASY_PACE},
   * because a gateway may have several times its share of the traffic. Guards against cascading
   * overload: the requests that impaired engines may not take would otherwise all go to the next
   * engine that shows no overload yet. The cost is that requests may wait while the other engines
   * are idle.
   */
  void surveyFleet(long now) {
    survey.reset();
    for (RequestClass requestClass : estimator.requestClasses()) {
      survey.offeredWork += requestClass.offeredWork().valueAt(now);
      requestClass.setEligibleCores(0);
    }
    for (Engine engine : registry.engines()) {
      if (engine.status == Status.READY) {
        surveyEngine(now, engine);
      }
    }
    limitsAllEngines =
        survey.impairedEngines >= MIN_IMPAIRED_SHARE * survey.readyEngines
            || (!estimator.isRecentPaceEasy(now)
                && (isPoolExhausted(false) || isPoolExhausted(true)));
    survey.computeMeans();
  }

  private void surveyEngine(long now, Engine engine) {
    if (isStalled(now, engine)) {
      markOverloaded(now, engine);
      reduceLimit(now, engine);
    }
    double cores = config.cores(engine);
    survey.readyEngines++;
    survey.cores += cores;
    for (RequestClass requestClass : estimator.requestClasses()) {
      if (requestClass.config.allows(engine)) {
        requestClass.setEligibleCores(requestClass.eligibleCores() + cores);
      }
    }
    boolean overloaded = isOverloaded(now, engine);
    survey.addHealth(overloaded, outliers.isOutlier(now, engine), engine.pace().valueAt(now));
    if (reports.isRecent(now, engine)) {
      survey.reportingEngines++;
      survey.meanUtilization += engine.reportedUtilization();
    }
    survey.addToPool(overloaded, limit(engine), threads(now, engine));
  }

  /**
   * Returns whether an engine seems to be stalled. Guards against an overload that hides itself: an
   * engine that answers few requests provides no pace, so the age of the attempts in flight there
   * counts as well. An engine also counts as stalled if this gateway alone has threads in flight
   * there for 1.5 times its cores, because a gateway that has just started sends that many before
   * it has any measurements. This detects any kind of stall, but may limit a healthy engine where
   * estimates are poor.
   */
  private boolean isStalled(long now, Engine engine) {
    double paceSum = 0;
    for (Attempt attempt : engine.inFlight) {
      RequestClass requestClass = attempt.request.requestClass;
      double usualTime =
          requestClass.bestPace() > 0
              ? attempt.nominalTime * requestClass.bestPace()
              : requestClass.config.latencyObjective() / LoadEstimator.SLOW_PACE;
      paceSum += Math.min(LoadEstimator.MAX_PACE, (now - attempt.sentAt) / Math.max(1, usualTime));
    }
    return paceSum > STALLED_PACE * engine.inFlight.size()
        || engine.threadsInFlight() >= ALL_CLASSES_MULTIPLE * config.cores(engine);
  }

  /**
   * Returns the capacity of an engine for a request class: within its limit, or that of the single
   * request that is always allowed. On an overloaded engine the single request is the last choice,
   * and it has to run alone there unless the limit leaves room. Guards against an overload that
   * never drains, because one request of each gateway may be more than the engine can process.
   */
  Capacity capacity(long now, Engine engine, RequestClass requestClass) {
    boolean overloaded = isOverloaded(now, engine);
    int threadsPerRequest = requestClass.config.threadsPerRequest();
    int ownThreads = engine.inFlightOfClass(requestClass.index) * threadsPerRequest;
    double limit = limit(engine);
    double threads = threads(now, engine);
    boolean classFits = ownThreads > 0 ? ownThreads < limit : threadsPerRequest <= limit;
    if ((classFits && threads < ALL_CLASSES_MULTIPLE * limit)
        || (!limitsAllEngines && !overloaded)) {
      return Capacity.WITHIN_LIMIT;
    }
    double allowedThreads =
        Math.max(
            ALL_CLASSES_MULTIPLE * limit,
            overloaded ? threadsPerRequest : config.threadsOfOneRequestPerClass);
    if (ownThreads > 0 || threads + threadsPerRequest > allowedThreads) {
      return Capacity.NONE;
    }
    return overloaded ? Capacity.SINGLE_REQUEST_OVERLOADED : Capacity.SINGLE_REQUEST;
  }

  /**
   * Returns whether the pool of engines with such a capacity has no threads left for another
   * request.
   */
  boolean isExhausted(Capacity capacity) {
    return capacity != Capacity.WITHIN_LIMIT
        && isPoolExhausted(capacity == Capacity.SINGLE_REQUEST_OVERLOADED);
  }

  /**
   * Returns whether the threads in use on a pool of engines reach the sum of its limits. Guards
   * against an overload that is sustained by the single requests that are always allowed. A gateway
   * with most of the traffic may be limited more than necessary.
   *
   * @param overloaded true for the pool of overloaded engines, false for that of the other engines
   */
  private boolean isPoolExhausted(boolean overloaded) {
    return survey.poolThreads(overloaded)
        >= ALL_CLASSES_MULTIPLE
            * Math.max(survey.poolLimit(overloaded), config.threadsOfOneRequestPerClass);
  }

  /** Returns whether the limit applies to all engines, as of the last survey. */
  boolean limitsAllEngines() {
    return limitsAllEngines;
  }

  /** Returns the number of threads of this gateway that an engine may have in use. */
  double limit(Engine engine) {
    return config.cores(engine) / config.gatewayCount * engine.concurrencyFactor();
  }

  /**
   * Returns the number of threads of this gateway that an engine is assumed to have in use: those
   * of attempts in flight, and those of attempts that timed out where engines can't cancel. Guards
   * against work that continues unseen and sustains an overload. Attempts that timed out count only
   * on an engine that has responded since they were sent, because after a lost connection nothing
   * may have run.
   */
  private static double threads(long now, Engine engine) {
    return engine.threadsInFlight() + engine.abandonedThreads().valueAt(now);
  }

  private static boolean isOverloaded(long now, Engine engine) {
    return now < engine.overloadedUntil();
  }

  /** Marks an engine as overloaded for the duration of the largest latency objective. */
  void markOverloaded(long now, Engine engine) {
    engine.setOverloadedUntil(now + config.maxLatencyObjective);
  }

  /**
   * Adjusts the limit of an engine to the outcome of an attempt: a rejection reduces it, and an
   * attempt that timed out but can't be cancelled continues to count.
   */
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

  /**
   * Reduces the limit while the engine's pace is far above the best one. Raises it while the pace
   * is below {@link LoadEstimator#EASY_PACE} and either the limit is reached or requests are
   * queued.
   */
  void adjustLimit(long now, Engine engine) {
    double pace = engine.pace().valueAt(now);
    if (pace > LoadEstimator.SLOW_PACE) {
      markOverloaded(now, engine);
      reduceLimit(now, engine);
    } else if (pace < LoadEstimator.EASY_PACE && (isLimitReached(engine) || hasQueuedRequest())) {
      double maxFactor = config.gatewayCount * LoadEstimator.SLOW_PACE / ALL_CLASSES_MULTIPLE;
      engine.setConcurrencyFactor(
          Math.min(maxFactor, engine.concurrencyFactor() + FACTOR_INCREASE));
    }
  }

  private boolean isLimitReached(Engine engine) {
    return limitedThreads(engine) + 1 >= limit(engine);
  }

  private boolean hasQueuedRequest() {
    return estimator.requestClasses().stream()
        .anyMatch(requestClass -> requestClass.firstQueued() != null);
  }

  /**
   * Returns the number of threads in flight to compare with the limit: those of the request class
   * with the most, or those of all classes divided by {@link #ALL_CLASSES_MULTIPLE} if that is
   * more.
   */
  private static double limitedThreads(Engine engine) {
    return Math.max(
        engine.threadsOfLargestClass(), engine.threadsInFlight() / ALL_CLASSES_MULTIPLE);
  }

  /** Reduces the limit of an engine, at most once per smallest latency objective. */
  private void reduceLimit(long now, Engine engine) {
    if (now >= engine.limitReducedAt()) {
      double usedFactor = limitedThreads(engine) / (config.cores(engine) / config.gatewayCount);
      double factor = Math.min(engine.concurrencyFactor(), Math.max(usedFactor, INITIAL_FACTOR));
      engine.setConcurrencyFactor(Math.max(MIN_FACTOR, factor * FACTOR_DECREASE));
      engine.setLimitReducedAt(now + config.minLatencyObjective);
    }
  }
}
