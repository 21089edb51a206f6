package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.DecayingSum;
import tillerlink.model.Engine;

/**
 * Detects engines that fail, reject or are silent, from the outcomes of attempts. An outlier gets
 * only health-check attempts until one of them succeeds. Times are tenths of a millisecond. Used
 * only by the event loop's thread.
 */
final class OutlierDetector {
  /** Number of failures, faded with age, that an outlier must exceed. */
  private static final double MIN_FAILURES = 0.7;

  /** Failures for each success that an outlier must exceed. */
  private static final double FAILURE_RATIO = 0.25;

  /**
   * Weight of a silence, a failure to connect or a restart, compared with 1 for a failed attempt.
   */
  private static final double SILENCE_WEIGHT = 3;

  /** Share of the opposite outcomes that the outcome of a health-check attempt clears. */
  private static final double HEALTH_CHECK_CLEARED_SHARE = 0.8;

  /** Length of a suspicious silence, in multiples of the expected time of an attempt. */
  private static final double SILENCE_EXPECTED_TIMES = 4;

  /** Length of a suspicious silence, in periods of progress messages. */
  private static final double SILENCE_PROGRESS_PERIODS = 1.3;

  private final PolicyConfig config;

  OutlierDetector(PolicyConfig config) {
    this.config = config;
  }

  /** Returns whether an engine failed so often recently that it gets only health-check attempts. */
  boolean isOutlier(long now, Engine engine) {
    double recentFailures = engine.failures().valueAt(now);
    return recentFailures > MIN_FAILURES
        && recentFailures > FAILURE_RATIO * engine.successes().valueAt(now);
  }

  /** Returns whether an engine has sent nothing since an attempt was sent there. */
  static boolean isSilentSince(Attempt attempt) {
    return attempt.engine.lastResponseAt() < attempt.sentAt;
  }

  /**
   * Returns how long an engine may send nothing before it is suspected because of an attempt there,
   * in tenths of a millisecond. If engines send progress messages, the limit depends on their
   * period alone. Guards against the cancellation of an attempt whose time was merely
   * underestimated, on a gateway with little traffic that receives nothing else from the engine.
   * The cost is a late detection of silence for short request classes.
   */
  long silenceLimit(Attempt attempt) {
    long latencyObjective = attempt.request.requestClass.config.latencyObjective();
    double silenceLimit =
        config.progressPeriod > 0
            ? Math.max(
                SILENCE_PROGRESS_PERIODS * config.progressPeriod, config.minLatencyObjective / 2.0)
            : Math.max(SILENCE_EXPECTED_TIMES * attempt.expectedTime, latencyObjective / 2.0);
    return (long) silenceLimit;
  }

  /** Records that an engine was silent for too long, and makes it an outlier. */
  void recordSilence(long now, Engine engine) {
    if (!isOutlier(now, engine)) {
      engine.failures().add(now, SILENCE_WEIGHT + FAILURE_RATIO * engine.successes().valueAt(now));
    }
  }

  /** Counts the outcome of an attempt in favour of its engine or against it. */
  void recordOutcome(long now, Attempt attempt, AttemptOutcome outcome) {
    Engine engine = attempt.engine;
    if (outcome.engineResponded) {
      engine.setLastResponseAt(now);
    }
    switch (outcome) {
      case SUCCEEDED -> count(now, attempt, engine.successes(), 1, engine.failures());
      // Guards against an engine that rejects at once: its low counts would attract more requests
      // of the class.
      case REJECTED -> countFailure(now, attempt, 1);
      case FAILED -> recordFailure(now, attempt);
      case CONNECT_FAILED -> countFailure(now, attempt, SILENCE_WEIGHT);
      case CONNECTION_LOST -> recordConnectionLost(now, attempt);
      case TIMED_OUT -> recordTimedOut(now, attempt);
      default -> {
        // The other outcomes indicate nothing about the engine's health.
      }
    }
  }

  /**
   * Counts a failed attempt against its engine, unless another engine has already failed on the
   * same request. In that case one failure of the other engine is cleared instead, and the request
   * is marked as unservable. Guards healthy engines against a request that no engine can execute.
   */
  private static void recordFailure(long now, Attempt attempt) {
    Engine otherFailedEngine = attempt.request.otherFailedEngine(attempt.engine);
    attempt.request.setUnservable(otherFailedEngine != null);
    if (otherFailedEngine == null) {
      countFailure(now, attempt, 1);
    } else {
      otherFailedEngine.failures().add(now, -1);
    }
  }

  /**
   * Counts a lost connection against the engine. One lost connection alone is attributed to the
   * network, and a second one without a response in between to a restart of the process. Guards
   * against a restart that the endpoint list reports late: a process that dropped its connections
   * is cold when it returns.
   */
  private static void recordConnectionLost(long now, Attempt attempt) {
    Engine engine = attempt.engine;
    boolean restarted = engine.lastResponseAt() < engine.connectionLostAt();
    countFailure(now, attempt, restarted ? SILENCE_WEIGHT : 1);
    if (restarted) {
      engine.setRestartSeenAt(now);
    }
    engine.setConnectionLostAt(now);
  }

  private static void recordTimedOut(long now, Attempt attempt) {
    if (isSilentSince(attempt)) {
      attempt.engine.failures().add(now, 1);
    }
  }

  private static void countFailure(long now, Attempt attempt, double weight) {
    count(now, attempt, attempt.engine.failures(), weight, attempt.engine.successes());
  }

  /**
   * Adds an outcome to the successes or the failures of an engine. The outcome of a health-check
   * attempt shows the engine's present state, so it clears most of the opposite outcomes.
   */
  private static void count(
      long now,
      Attempt attempt,
      DecayingSum outcomes,
      double weight,
      DecayingSum oppositeOutcomes) {
    outcomes.add(now, weight);
    if (attempt.healthCheck) {
      oppositeOutcomes.add(now, -HEALTH_CHECK_CLEARED_SHARE * oppositeOutcomes.valueAt(now));
    }
  }
}
