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

/**
 * Chooses the engine for a request: the one with the fewest requests of its class for each core,
 * among those with the best capacity. Used by the event loop alone.
 */
final class EngineSelector {
  /** Drawn chance of success from which on an outlier gets a health-check attempt. */
  private static final double HEALTH_CHECK_CHANCE = 0.7;

  /** Trust from which on one response makes up for a cached endpoint list. */
  private static final double TRUSTED_AFTER_RESPONSE = 0.5;

  /** An engine this many times slower than the fleet counts with fewer cores. */
  private static final double SLOW_ENGINE = 1.4;

  /** Share of an engine that request classes bound to it leave to others, at the least. */
  private static final double MIN_SPARE_SHARE = 0.1;

  /** Loads closer than this are equal. */
  private static final double TOLERANCE = 1e-9;

  /** Larger than any load: decides before the load does. */
  private static final double TIE_BREAK = 1000;

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

  /** Of the engines looked at for the present request: the healthy ones with the best capacity. */
  private final List<Engine> candidates = new ArrayList<>();

  private Capacity bestCapacity;
  private boolean healthyFound;

  /** Of the outliers, the one with the highest drawn chance of success, or null. */
  private Engine likeliestOutlier;

  private double outlierChance;

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

  /** The engine for a request, or null if it must wait. */
  Engine select(long now, Request request) {
    limiter.surveyFleet(now);
    collectCandidates(now, request);
    boolean healthCheck =
        request.requestClass.config.effect() == Effect.PURE && outlierChance > HEALTH_CHECK_CHANCE;
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
    outlierChance = -1;
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
        && isProven(request, engine);
  }

  /**
   * Draws from the posterior of an outlier's chance of success, so that it is never quite
   * forgotten.
   */
  private void considerOutlier(long now, Engine engine) {
    double chance =
        BetaDistribution.draw(
            random, 1 + engine.successes().at(now), 1 + engine.failures().at(now));
    if (engine.healthChecksInFlight() == 0 && chance > outlierChance) {
      outlierChance = chance;
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
   * Guards a start from a cached endpoint list: until an engine of it has responded, few attempts
   * go there, and none that must not run twice or is bound to some engines; with an old list these
   * wait until it is confirmed. It may hurt a gateway that has little else.
   */
  private boolean isProven(Request request, Engine engine) {
    boolean responded = engine.lastResponseAt() >= gatewayStartedAt;
    if (engine.trust >= 1 || (responded && engine.trust >= TRUSTED_AFTER_RESPONSE)) {
      return true;
    }
    RequestClassConfig classConfig = request.requestClass.config;
    return classConfig.effect() == Effect.PURE
        && classConfig.engineKinds() == null
        && classConfig.zones() == null
        && (responded
            || engine.inFlight.size() < Math.max(1, engine.trust * limiter.limit(engine)));
  }

  /** Removes the candidates that match, unless none would remain. */
  private void removeUnlessAll(Predicate<Engine> matches) {
    if (!candidates.stream().allMatch(matches)) {
      candidates.removeIf(matches);
    }
  }

  /**
   * Load-balanced query placement: the fewest requests of the class for each core; those above the
   * expected average are left out; cached tables break ties.
   */
  private Engine leastLoaded(long now, Request request) {
    double cores = 0;
    double queries = 1;
    for (Engine engine : candidates) {
      measureLoad(now, request, engine);
      cores += engine.spareCores();
      queries += engine.classLoad() * engine.spareCores();
    }
    double average = queries / cores;
    removeUnlessAll(engine -> engine.classLoad() > average);
    double least = candidates.stream().mapToDouble(engine -> engine.classLoad()).min().orElse(0);
    candidates.removeIf(engine -> engine.classLoad() > least + TOLERANCE);
    return breakTie(request);
  }

  private void measureLoad(long now, Request request, Engine engine) {
    boolean recent = reports.isRecent(now, engine);
    double cores = effectiveCores(now, engine) * spareShare(now, engine, request.requestClass);
    engine.setSpareCores(cores);
    engine.setClassLoad(
        engine.inFlightOfClass(request.classIndex) / cores
            + (recent ? engine.reportedQueries() / config.cores(engine) : 0));
    // Guards against a stalled engine that answers nothing: after a while it would look idle.
    double utilization =
        recent
            ? engine.reportedUtilization()
            : Math.max(survey.utilization, engine.reportedUtilization());
    int threads = engine.threadsInFlight() + request.requestClass.config.threadsPerRequest();
    engine.setLoad(threads / cores + utilization);
  }

  /**
   * Cached tables break ties, but not towards an engine that other classes keep busier than the
   * rest: a popular table group would pile up its long queries there. Before them comes a warming
   * engine whose slow-start slot it is: a slot without an attempt leaves it idle. Then the least
   * load decides, with a random draw by cores, which guards against many gateways that know little
   * and would choose alike. It costs some choices between engines of different load.
   */
  private Engine breakTie(Request request) {
    double usualLoad = candidates.stream().mapToDouble(engine -> engine.load()).average().orElse(0);
    Engine best = null;
    double bestRating = Double.MAX_VALUE;
    for (Engine engine : candidates) {
      boolean tablesCached =
          engine.hasRecentTableGroup(request.tableGroup) && engine.load() <= usualLoad + TOLERANCE;
      double draw = -Math.log(1 - random.nextDouble()) / engine.spareCores();
      double preference = engine.usesSlowStartSlot() ? -TIE_BREAK : tablesCached ? 0 : TIE_BREAK;
      double rating = preference + engine.load() + draw;
      if (rating < bestRating) {
        bestRating = rating;
        best = engine;
      }
    }
    return best;
  }

  /**
   * An engine slower than the fleet, or still warming up, counts with the cores it seems to have.
   */
  private double effectiveCores(long now, Engine engine) {
    double slowness = engine.pace().at(now) / survey.pace;
    return config.cores(engine)
        * slowStart.warmCapacity(now, engine)
        / (slowness > SLOW_ENGINE ? slowness : 1);
  }

  /**
   * The share of an engine that the other request classes bound to a part of the fleet leave, by
   * the work seen of each. Guards against that part being filled twice: counts of one class do not
   * show it, and where a gateway's counts are mostly zero nothing does. It may hurt while estimates
   * are far off by request class.
   */
  private double spareShare(long now, Engine engine, RequestClass requestClass) {
    double boundWork = 0;
    for (RequestClass other : estimator.requestClasses()) {
      if (other != requestClass
          && other.eligibleCores() < survey.cores
          && other.config.allows(engine)) {
        boundWork += other.offeredWork().at(now) / other.eligibleCores();
      }
    }
    return Math.max(
        MIN_SPARE_SHARE, 1 - boundWork * survey.cores / Math.max(1, survey.offeredWork));
  }
}
