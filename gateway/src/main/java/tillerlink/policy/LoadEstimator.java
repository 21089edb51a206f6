package tillerlink.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.DecayingMean;
import tillerlink.model.DecayingSum;
import tillerlink.model.Engine;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;
import tillerlink.model.RequestClassConfig;

/**
 * Estimates the work and the time of requests from the attempts that succeeded. Work is the time of
 * all threads of a request together. A pace is the time that an attempt took divided by the time
 * that it would take alone. Times are tenths of a millisecond. Used only by the event loop's
 * thread.
 */
final class LoadEstimator {
  /**
   * Pace, in multiples of the best one, above which an engine counts as far slower than the best
   * pace.
   */
  static final double SLOW_PACE = 2.0;

  /** Pace, in multiples of the best one, below which engines count as lightly loaded. */
  static final double EASY_PACE = 1.6;

  /** Upper bound of the pace of one attempt, in multiples of the best one. */
  static final double MAX_PACE = 3;

  /**
   * Weight of attempts that a mean pace needs before it counts, as the best one or as that of
   * recent attempts.
   */
  private static final double MIN_PACE_ATTEMPTS = 6;

  /** Upper bound of a measured ratio, in multiples of the expected one. */
  private static final double MAX_RATIO = 2 * MAX_PACE;

  /** Weight of the pace of an attempt in flight, compared with 1 for one that ended. */
  private static final double PROGRESS_WEIGHT = 0.5;

  /**
   * Time over which the measurements of a request class fade, in multiples of its deadline or, for
   * the pace, of its latency objective.
   */
  private static final double FADE_MULTIPLE = 4.0;

  /** Time over which the offered load fades, in multiples of the largest latency objective. */
  private static final double OFFERED_LOAD_OBJECTIVES = 16.0;

  private final FleetSurvey survey;
  private final List<RequestClass> requestClasses;
  private final DecayingSum offeredWeight;

  /**
   * Mean pace of all attempts that ended recently, in multiples of the best pace of their request
   * class.
   */
  private final DecayingMean recentPace;

  LoadEstimator(PolicyConfig config, FleetSurvey survey) {
    this.survey = survey;
    double offeredLoadTime = config.maxLatencyObjective * OFFERED_LOAD_OBJECTIVES;
    offeredWeight = new DecayingSum(offeredLoadTime);
    recentPace = new DecayingMean(config.maxLatencyObjective, 1, 2);
    List<RequestClass> created = new ArrayList<>();
    for (RequestClassConfig classConfig : config.requestClasses) {
      RequestClass requestClass = requestClass(created.size(), classConfig);
      requestClass.setOfferedWork(new DecayingSum(offeredLoadTime));
      created.add(requestClass);
    }
    requestClasses = Collections.unmodifiableList(created);
  }

  private static RequestClass requestClass(int index, RequestClassConfig config) {
    double fadeTime = config.deadline() * FADE_MULTIPLE;
    double usualWork = config.latencyObjective() * config.threadsPerRequest() / SLOW_PACE;
    return new RequestClass(
        index,
        config,
        new DecayingMean(fadeTime, 1, 4),
        new DecayingMean(fadeTime, 1, 4),
        new DecayingMean(fadeTime, usualWork, 1),
        new DecayingMean(config.latencyObjective() * FADE_MULTIPLE, 1, 1e-6));
  }

  /** Returns the request classes with their measurements, by index. */
  List<RequestClass> requestClasses() {
    return requestClasses;
  }

  /** Adds a request that arrived to the offered load. */
  void recordArrival(long now, Request request) {
    RequestClassConfig config = request.requestClass.config;
    offeredWeight.add(now, config.priorityWeight());
    double maxWork = (double) (config.deadline() * config.threadsPerRequest());
    request.requestClass.offeredWork().add(now, Math.min(work(now, request), maxWork));
  }

  /**
   * Updates the estimates from an attempt that succeeded.
   *
   * @param duration time from the sending to the response, in tenths of a millisecond
   * @param work true work in tenths of a millisecond, 0 if the engine did not report it
   * @param memory memory that was needed in MB, 0 if the engine did not report it
   */
  void recordSuccess(long now, Attempt attempt, long duration, double work, double memory) {
    Request request = attempt.request;
    RequestClass requestClass = request.requestClass;
    if (work > 0 && request.workEstimate > 0) {
      requestClass.workBias.add(now, Math.min(MAX_RATIO, work / request.workEstimate), 1);
    }
    if (memory > 0 && request.memoryEstimate > 0) {
      requestClass.memoryBias.add(now, Math.min(MAX_RATIO, memory / request.memoryEstimate), 1);
    }
    int threads = requestClass.config.threadsPerRequest();
    double estimatedWork =
        request.workEstimate > 0 ? work(now, request) : (double) (duration * threads);
    requestClass.work.add(now, work > 0 ? work : estimatedWork, 1);
    double nominalTime = work > 0 ? work / threads : attempt.nominalTime;
    double pace = duration / Math.max(1, nominalTime);
    recordPace(now, requestClass, pace);
    double relativePace = Math.min(MAX_PACE, pace / requestClass.bestPaceOrDefault());
    attempt.engine.pace().add(now, relativePace, 1);
    recentPace.add(now, relativePace, 1);
  }

  private static void recordPace(long now, RequestClass requestClass, double pace) {
    requestClass.pace.add(now, Math.min(pace, MAX_RATIO * requestClass.bestPaceOrDefault()), 1);
    if (requestClass.pace.weight(now) >= MIN_PACE_ATTEMPTS) {
      double mean = requestClass.pace.valueAt(now);
      requestClass.setBestPace(
          requestClass.bestPace() == 0 ? mean : Math.min(requestClass.bestPace(), mean));
    }
  }

  /**
   * Updates the pace of an engine from the projected time of an attempt in flight.
   *
   * @param projectedTime time that the attempt will have taken in all, in tenths of a millisecond
   */
  static void recordProgress(long now, Attempt attempt, double projectedTime) {
    double pace =
        projectedTime / attempt.nominalTime / attempt.request.requestClass.bestPaceOrDefault();
    attempt.engine.pace().add(now, Math.min(MAX_PACE, pace), PROGRESS_WEIGHT);
  }

  /** Returns whether the attempts that ended recently took little more than their best time. */
  boolean isRecentPaceEasy(long now) {
    return recentPace.weight(now) >= MIN_PACE_ATTEMPTS && recentPace.valueAt(now) < EASY_PACE;
  }

  /**
   * Returns the work that a request is expected to need, of all its threads together, in tenths of
   * a millisecond.
   */
  static double work(long now, Request request) {
    return request.workEstimate > 0
        ? request.workEstimate * request.requestClass.workBias.valueAt(now)
        : request.requestClass.work.valueAt(now);
  }

  /**
   * Returns the time that an attempt would take alone on an ordinary engine, in tenths of a
   * millisecond.
   */
  static double nominalTime(long now, Request request) {
    return work(now, request) / request.requestClass.config.threadsPerRequest();
  }

  /**
   * Returns the time that an attempt sent now is expected to take on an engine, in tenths of a
   * millisecond.
   */
  static long expectedTime(long now, Request request, Engine engine) {
    return (long)
        (nominalTime(now, request)
            * request.requestClass.bestPaceOrDefault()
            * Math.max(1, engine.pace().valueAt(now)));
  }

  /**
   * Returns the time that an attempt sent now is expected to take on an ordinary engine, in tenths
   * of a millisecond.
   */
  long usualTime(long now, Request request) {
    RequestClass requestClass = request.requestClass;
    double pace =
        Math.max(
            requestClass.pace.valueAt(now),
            requestClass.bestPaceOrDefault() * Math.max(1, survey.meanPace));
    return (long) (nominalTime(now, request) * pace);
  }

  /**
   * Returns the latency objective of a request in tenths of a millisecond. It grows with the work
   * if the request class is configured so.
   */
  static long latencyObjective(long now, Request request) {
    RequestClassConfig config = request.requestClass.config;
    return config.latencyObjective()
        + (long) (config.objectiveStretch() * work(now, request) / config.threadsPerRequest());
  }

  /**
   * Returns the priority of a request: its priority weight divided by its work, compared with the
   * same ratio of all requests that arrived recently.
   *
   * @return the priority, 0 (lowest) to 3 (highest)
   */
  int priority(long now, Request request) {
    double usualDensity = offeredWeight.valueAt(now) / Math.max(1, survey.offeredWork);
    double weight = request.requestClass.config.priorityWeight();
    double priorityDensity = weight / Math.max(1, work(now, request)) / usualDensity;
    if (priorityDensity >= 4) {
      return 3;
    }
    return priorityDensity >= 1 ? 2 : priorityDensity >= 0.25 ? 1 : 0;
  }
}
