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
 * Estimates of work and time, learnt from the attempts that succeeded. Work is the time of all
 * threads of a request together; a pace is the time taken over the time that the attempt would take
 * alone. Times are tenths of a millisecond. Used by the event loop alone.
 */
final class LoadEstimator {
  /** A pace this many times the best is far above it. */
  static final double SLOW_PACE = 2.0;

  /** Below this many times the best, engines are loaded lightly. */
  static final double EASY_PACE = 1.6;

  /** The pace of one attempt counts as at most this many times the best. */
  static final double MAX_PACE = 3;

  /** Attempts that a pace needs before it can be the best seen. */
  private static final double MIN_ATTEMPTS = 6;

  /** A measured ratio counts as at most this many times the expected one. */
  private static final double MAX_RATIO = 2 * MAX_PACE;

  /** What the pace of an attempt in flight counts for, against 1 for one that ended. */
  private static final double PROGRESS_WEIGHT = 0.5;

  /** What is learnt of a request class fades over so many deadlines or latency objectives. */
  private static final double MEMORY_SPANS = 4.0;

  /** The offered load fades over so many of the largest latency objective. */
  private static final double OFFERED_LOAD_OBJECTIVES = 16.0;

  private final FleetSurvey survey;
  private final List<RequestClass> requestClasses;
  private final DecayingSum offeredWeight;

  /** The pace of all attempts that ended recently, in multiples of their request class's best. */
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
    double memory = config.deadline() * MEMORY_SPANS;
    double usualWork = config.latencyObjective() * config.threadsPerRequest() / SLOW_PACE;
    return new RequestClass(
        index,
        config,
        new DecayingMean(memory, 1, 4),
        new DecayingMean(memory, 1, 4),
        new DecayingMean(memory, usualWork, 1),
        new DecayingMean(config.latencyObjective() * MEMORY_SPANS, 1, 1e-6));
  }

  /** The request classes with what was learnt of them, by index. */
  List<RequestClass> requestClasses() {
    return requestClasses;
  }

  /** Counts a request that arrived towards the offered load. */
  void recordArrival(long now, Request request) {
    RequestClassConfig config = request.requestClass.config;
    offeredWeight.add(now, config.priorityWeight());
    double largest = (double) (config.deadline() * config.threadsPerRequest());
    request.requestClass.offeredWork().add(now, Math.min(work(now, request), largest));
  }

  /**
   * Learns from an attempt that succeeded.
   *
   * @param duration time from the sending to the response
   * @param work true work, 0 if the engine did not report it
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
    double estimated =
        request.workEstimate > 0 ? work(now, request) : (double) (duration * threads);
    requestClass.work.add(now, work > 0 ? work : estimated, 1);
    double nominal = work > 0 ? work / threads : attempt.nominalTime;
    double pace = duration / Math.max(1, nominal);
    recordPace(now, requestClass, pace);
    double timesBest = Math.min(MAX_PACE, pace / requestClass.bestPaceOrDefault());
    attempt.engine.pace().add(now, timesBest, 1);
    recentPace.add(now, timesBest, 1);
  }

  private static void recordPace(long now, RequestClass requestClass, double pace) {
    requestClass.pace.add(now, Math.min(pace, MAX_RATIO * requestClass.bestPaceOrDefault()), 1);
    if (requestClass.pace.weight(now) >= MIN_ATTEMPTS) {
      double mean = requestClass.pace.at(now);
      requestClass.setBestPace(
          requestClass.bestPace() == 0 ? mean : Math.min(requestClass.bestPace(), mean));
    }
  }

  /** Learns the pace of an engine from the projected time of an attempt that is in flight. */
  static void recordProgress(long now, Attempt attempt, double projectedTime) {
    double pace =
        projectedTime / attempt.nominalTime / attempt.request.requestClass.bestPaceOrDefault();
    attempt.engine.pace().add(now, Math.min(MAX_PACE, pace), PROGRESS_WEIGHT);
  }

  /** Whether the attempts that ended recently took little more than the best time. */
  boolean isRecentPaceEasy(long now) {
    return recentPace.weight(now) >= MIN_ATTEMPTS && recentPace.at(now) < EASY_PACE;
  }

  /** The work that a request is expected to need, of all its threads together. */
  static double work(long now, Request request) {
    return request.workEstimate > 0
        ? request.workEstimate * request.requestClass.workBias.at(now)
        : request.requestClass.work.at(now);
  }

  /** Time that an attempt would take alone on an ordinary engine. */
  static double nominalTime(long now, Request request) {
    return work(now, request) / request.requestClass.config.threadsPerRequest();
  }

  /** Time that an attempt sent now is expected to take on an engine. */
  static long expectedTime(long now, Request request, Engine engine) {
    return (long)
        (nominalTime(now, request)
            * request.requestClass.bestPaceOrDefault()
            * Math.max(1, engine.pace().at(now)));
  }

  /** Time that an attempt sent now is expected to take on an ordinary engine. */
  long usualTime(long now, Request request) {
    RequestClass requestClass = request.requestClass;
    double pace =
        Math.max(
            requestClass.pace.at(now), requestClass.bestPaceOrDefault() * Math.max(1, survey.pace));
    return (long) (nominalTime(now, request) * pace);
  }

  /** The latency objective of a request, longer for more work where its class says so. */
  static long latencyObjective(long now, Request request) {
    RequestClassConfig config = request.requestClass.config;
    return config.latencyObjective()
        + (long) (config.objectiveStretch() * work(now, request) / config.threadsPerRequest());
  }

  /**
   * The priority of a request, 0 to 3: its priority weight for its work, against the same of all
   * requests that arrived recently.
   */
  int priority(long now, Request request) {
    double usual = offeredWeight.at(now) / Math.max(1, survey.offeredWork);
    double weight = request.requestClass.config.priorityWeight();
    double density = weight / Math.max(1, work(now, request)) / usual;
    if (density >= 4) {
      return 3;
    }
    return density >= 1 ? 2 : density >= 0.25 ? 1 : 0;
  }
}
