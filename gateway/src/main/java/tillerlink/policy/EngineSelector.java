package tillerlink.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import tillerlink.model.BetaDistribution;
import tillerlink.model.Effect;
import tillerlink.model.Engine;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;
import tillerlink.model.RequestClassConfig;
import tillerlink.policy.ConcurrencyLimiter.Capacity;
import tillerlink.port.SendVerdict;

/**
 * Selects the engine for a request: the one with the fewest requests of its class for each core,
 * among those with the best capacity. Used only by the event loop's thread.
 */
final class EngineSelector {
  /**
   * Randomly drawn chance of success above which an outlier gets a health-check attempt even if
   * healthy engines are available.
   */
  private static final double MIN_HEALTH_CHECK_CHANCE = 0.7;

  /**
   * Trust from which on one response of an engine makes up for its entry coming from a cached
   * endpoint list.
   */
  private static final double MIN_TRUST_AFTER_RESPONSE = 0.5;

  /**
   * Ratio of an engine's pace to that of the fleet above which the engine is treated as having
   * fewer cores.
   */
  private static final double MIN_SLOWNESS = 1.4;

  /**
   * Lower bound of the share of an engine that request classes restricted to it leave to others.
   */
  private static final double MIN_SPARE_SHARE = 0.1;

  /** Difference up to which two loads are equal. */
  private static final double LOAD_TOLERANCE = 1e-9;

  /**
   * Weight of a preference in the rating of an engine. It is larger than any load, so that
   * preferences take precedence over the load.
   */
  private static final double PREFERENCE_WEIGHT = 1000;

  private final PolicyConfig config;
  private final Random random;
  private final long gatewayStartedAt;
  private final EngineRegistry registry;
  private final SendGuard guard;
  private final LoadEstimator estimator;
  private final LoadReports reports;
  private final OutlierDetector outliers;
  private final SlowStart slowStart;
  private final ConcurrencyLimiter limiter;
  private final FleetSurvey survey;

  /** Healthy engines with the best capacity among those examined for the present request. */
  private final List<Engine> candidates = new ArrayList<>();

  private Capacity bestCapacity;
  private boolean healthyFound;

  /** Outlier with the highest drawn chance of success, or null. */
  private Engine likeliestOutlier;

  private double likeliestOutlierChance;

  EngineSelector(
      PolicyConfig config,
      Random random,
      long gatewayStartedAt,
      SendGuard guard,
      FleetMeasurements measurements,
      ConcurrencyLimiter limiter) {
    this.config = config;
    this.random = random;
    this.gatewayStartedAt = gatewayStartedAt;
    this.guard = guard;
    this.limiter = limiter;
    registry = measurements.registry();
    estimator = measurements.estimator();
    reports = measurements.reports();
    outliers = measurements.outliers();
    slowStart = measurements.slowStart();
    survey = measurements.survey();
  }

  /** Returns the engine for a request, or null if the request must wait. */
  Engine select(long now, Request request) {
    limiter.surveyFleet(now);
    collectCandidates(now, request);
    boolean healthCheck =
        request.requestClass.config.effect() == Effect.PURE
            && likeliestOutlierChance > MIN_HEALTH_CHECK_CHANCE;
    if (likeliestOutlier != null && (healthCheck || !healthyFound)) {
      return likeliestOutlier;
    }
    if (candidates.isEmpty() || limiter.isExhausted(bestCapacity)) {
      return null;
    }
    removeUnlessAll(
        engine -> request.attempts.stream().anyMatch(attempt -> attempt.engine == engine));
    RequestClassConfig classConfig = request.requestClass.config;
    if (classConfig.loadsTableGroup() || classConfig.waitsForTableGroupLoad()) {
      removeUnlessAll(engine -> engine.loadsTableGroup(request.tableGroup));
    }
    return leastLoaded(now, request);
  }

  private void collectCandidates(long now, Request request) {
    candidates.clear();
    bestCapacity = Capacity.NONE;
    healthyFound = false;
    likeliestOutlier = null;
    likeliestOutlierChance = -1;
    for (Engine engine : registry.engines()) {
      if (!isEligible(now, request, engine)) {
        continue;
      }
      if (outliers.isOutlier(now, engine)) {
        considerOutlier(now, engine);
      } else {
        healthyFound = true;
        considerHealthy(engine, limiter.capacity(now, engine, request.requestClass));
      }
    }
  }

  private boolean isEligible(long now, Request request, Engine engine) {
    return guard.checkPlacement(now, request, engine) == SendVerdict.ALLOWED
        && slowStart.hasQuota(now, engine, LoadEstimator.work(now, request))
        && isTrusted(request, engine);
  }

  /**
   * Draws a chance of success from an outlier's posterior distribution, so that no outlier is
   * excluded permanently, and remembers the outlier with the highest one.
   */
  private void considerOutlier(long now, Engine engine) {
    double chance =
        BetaDistribution.draw(
            random, 1 + engine.successes().valueAt(now), 1 + engine.failures().valueAt(now));
    if (engine.healthChecksInFlight() == 0 && chance > likeliestOutlierChance) {
      likeliestOutlierChance = chance;
      likeliestOutlier = engine;
    }
  }

  private void considerHealthy(Engine engine, Capacity capacity) {
    if (capacity.compareTo(bestCapacity) < 0) {
      candidates.clear();
      bestCapacity = capacity;
    }
    if (capacity == bestCapacity && capacity != Capacity.NONE) {
      candidates.add(engine);
    }
  }

  /**
   * Returns whether an engine is trusted enough for a request. Guards a gateway that starts from a
   * cached endpoint list: until an engine of that list has responded, it gets few attempts, and
   * none of a request that must not run twice or is restricted to some engines. With an old list,
   * such requests wait until the list is confirmed. The cost is borne by a gateway that has few
   * other requests.
   */
  private boolean isTrusted(Request request, Engine engine) {
    boolean responded = engine.lastResponseAt() >= gatewayStartedAt;
    if (engine.trust >= 1 || (responded && engine.trust >= MIN_TRUST_AFTER_RESPONSE)) {
      return true;
    }
    RequestClassConfig classConfig = request.requestClass.config;
    return classConfig.effect() == Effect.PURE
        && classConfig.engineKinds() == null
        && classConfig.zones() == null
        && (responded
            || engine.inFlight.size() < Math.max(1, engine.trust * limiter.limit(engine)));
  }

  /** Removes the candidates that match, unless all of them do. */
  private void removeUnlessAll(Predicate<Engine> matches) {
    if (!candidates.stream().allMatch(matches)) {
      candidates.removeIf(matches);
    }
  }

  /**
   * Selects a candidate by load-balanced query placement: the candidates with the fewest requests
   * of the class for each core remain, those above the expected average are excluded, and cached
   * tables break ties.
   */
  private Engine leastLoaded(long now, Request request) {
    double cores = 0;
    double requestCount = 1;
    for (Engine engine : candidates) {
      measureLoad(now, request, engine);
      cores += engine.spareCores();
      requestCount += engine.classLoad() * engine.spareCores();
    }
    double average = requestCount / cores;
    removeUnlessAll(engine -> engine.classLoad() > average);
    double minLoad = candidates.stream().mapToDouble(engine -> engine.classLoad()).min().orElse(0);
    candidates.removeIf(engine -> engine.classLoad() > minLoad + LOAD_TOLERANCE);
    return breakTie(request);
  }

  private void measureLoad(long now, Request request, Engine engine) {
    boolean hasRecentReport = reports.isRecent(now, engine);
    double cores = effectiveCores(now, engine) * spareShare(now, engine, request.requestClass);
    engine.setSpareCores(cores);
    engine.setClassLoad(
        engine.inFlightOfClass(request.classIndex) / cores
            + (hasRecentReport ? engine.reportedQueries() / config.cores(engine) : 0));
    // Guards against a stalled engine, which sends no reports: after a while it would look idle.
    double utilization =
        hasRecentReport
            ? engine.reportedUtilization()
            : Math.max(survey.meanUtilization, engine.reportedUtilization());
    int threads = engine.threadsInFlight() + request.requestClass.config.threadsPerRequest();
    engine.setLoad(threads / cores + utilization);
  }

  /**
   * Selects one of several candidates with equal numbers of requests. A warming engine comes first
   * if the attempt would use its slow-start slot, because a slot without an attempt leaves the
   * engine idle. Engines with cached tables come next, unless other classes keep them busier than
   * the average candidate: a popular table group would otherwise accumulate its long queries there.
   * Then the lowest sum of the load and a random draw, which is smaller for more cores, decides.
   * The draw guards against many gateways with little information making the same choice. Its cost
   * is that it sometimes outweighs a difference in load.
   */
  private Engine breakTie(Request request) {
    double meanLoad = candidates.stream().mapToDouble(engine -> engine.load()).average().orElse(0);
    Engine best = null;
    double bestRating = Double.MAX_VALUE;
    for (Engine engine : candidates) {
      boolean tablesCached =
          engine.hasRecentTableGroup(request.tableGroup)
              && engine.load() <= meanLoad + LOAD_TOLERANCE;
      double randomDraw = -Math.log(1 - random.nextDouble()) / engine.spareCores();
      double preference =
          engine.usesSlowStartSlot() ? -PREFERENCE_WEIGHT : tablesCached ? 0 : PREFERENCE_WEIGHT;
      double rating = preference + engine.load() + randomDraw;
      if (rating < bestRating) {
        bestRating = rating;
        best = engine;
      }
    }
    return best;
  }

  /**
   * Returns the number of cores that an engine seems to have, which is lower for one that is slower
   * than the fleet or still warming up.
   */
  private double effectiveCores(long now, Engine engine) {
    double slowness = engine.pace().valueAt(now) / survey.meanPace;
    return config.cores(engine)
        * slowStart.warmCapacity(now, engine)
        / (slowness > MIN_SLOWNESS ? slowness : 1);
  }

  /**
   * Returns the share of an engine that is left by the other request classes that are restricted to
   * a part of the fleet, estimated from the offered work of each. Guards against that part being
   * filled twice: the request counts of one class do not show the load of the others, and where
   * most counts of a gateway are zero, no count does. The share is wrong while the estimates of
   * some request classes are far off.
   *
   * @return the share, {@link #MIN_SPARE_SHARE} to 1
   */
  private double spareShare(long now, Engine engine, RequestClass requestClass) {
    double boundWorkPerCore = 0;
    for (RequestClass other : estimator.requestClasses()) {
      if (other != requestClass
          && other.eligibleCores() < survey.cores
          && other.config.allows(engine)) {
        boundWorkPerCore += other.offeredWork().valueAt(now) / other.eligibleCores();
      }
    }
    return Math.max(
        MIN_SPARE_SHARE, 1 - boundWorkPerCore * survey.cores / Math.max(1, survey.offeredWork));
  }
}
