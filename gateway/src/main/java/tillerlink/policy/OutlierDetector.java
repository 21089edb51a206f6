package tillerlink.policy;

import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.DecayingSum;
import tillerlink.model.Engine;

/**
 * Detects engines that fail, refuse or are silent, from the outcomes of attempts. An outlier gets
 * health-check attempts only, until one of them succeeds. Times are tenths of a millisecond. Used
 * by the event loop alone.
 */
final class OutlierDetector {
  /** Failures that an outlier has at the least. */
  private static final double MIN_FAILURES = 0.7;

  /** Failures for each success that make an engine an outlier. */
  private static final double FAILURE_RATIO = 0.25;

  /** What a silence counts for, in failures. */
  private static final double SILENCE_WEIGHT = 3;

  /** Share of the opposite record that the outcome of a health-check attempt wipes out. */
  private static final double HEALTH_CHECK_CLEARS = 0.8;

  /** Silence of this many expected times is suspicious. */
  private static final double SILENCE_EXPECTED_TIMES = 4;

  /** Silence of this many periods of progress messages is suspicious. */
  private static final double SILENCE_PROGRESS_PERIODS = 1.3;

  private final PolicyConfig config;

  OutlierDetector(PolicyConfig config) {
    this.config = config;
  }

  /** Whether an engine failed so often recently that it gets health-check attempts only. */
  boolean isOutlier(long now, Engine engine) {
    double failed = engine.failures().at(now);
    return failed > MIN_FAILURES && failed > FAILURE_RATIO * engine.successes().at(now);
  }

  /** Whether an engine has sent nothing since an attempt was sent there. */
  static boolean isSilentSince(Attempt attempt) {
    return attempt.engine.lastResponseAt() < attempt.sentAt;
  }

  /**
   * How long an engine may send nothing before it is suspected because of an attempt there. Where
   * it sends progress messages, these decide: that guards against cancelling what was only
   * underrated, where a gateway with little traffic gets nothing else from the engine. It may hurt
   * short request classes on an engine that fell silent.
   */
  long silenceLimit(Attempt attempt) {
    long latencyObjective = attempt.request.requestClass.config.latencyObjective();
    double limit =
        config.progressPeriod > 0
            ? Math.max(
                SILENCE_PROGRESS_PERIODS * config.progressPeriod, config.minLatencyObjective / 2.0)
            : Math.max(SILENCE_EXPECTED_TIMES * attempt.expectedTime, latencyObjective / 2.0);
    return (long) limit;
  }

  /** An engine was silent for too long: it counts as an outlier from now on. */
  void recordSilence(long now, Engine engine) {
    if (!isOutlier(now, engine)) {
      engine.failures().add(now, SILENCE_WEIGHT + FAILURE_RATIO * engine.successes().at(now));
    }
  }

  /** Counts the outcome of an attempt for or against its engine. */
  void recordOutcome(long now, Attempt attempt, AttemptOutcome outcome) {
    Engine engine = attempt.engine;
    if (outcome.engineResponded) {
      engine.setLastResponseAt(now);
    }
    switch (outcome) {
      case SUCCEEDED -> count(now, attempt, engine.successes(), 1, engine.failures());
      // Guards against an engine that refuses at once: its low counts would attract its class.
      case REJECTED -> countFailure(now, attempt, 1);
      case FAILED -> recordFailed(now, attempt);
      case CONNECT_FAILED -> countFailure(now, attempt, SILENCE_WEIGHT);
      case CONNECTION_LOST -> recordConnectionLost(now, attempt);
      case TIMED_OUT -> recordTimedOut(now, attempt);
      default -> {
        // The other outcomes tell nothing of the engine.
      }
    }
  }

  /**
   * Guards against a request that no engine can serve: a failure on a second engine clears the
   * first one.
   */
  private static void recordFailed(long now, Attempt attempt) {
    Engine other = attempt.request.otherFailedEngine(attempt.engine);
    attempt.request.setUnservable(other != null);
    if (other == null) {
      countFailure(now, attempt, 1);
    } else {
      other.failures().add(now, -1);
    }
  }

  /**
   * Guards against a restart that the endpoint list reports late: a process that dropped its
   * connections comes back cold. One lost connection alone is the network's fault; two without a
   * response between them are the fault of the process.
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

  /** A health-check attempt shows the present: it wipes out most of the opposite record. */
  private static void count(
      long now, Attempt attempt, DecayingSum record, double weight, DecayingSum opposite) {
    record.add(now, weight);
    if (attempt.healthCheck) {
      opposite.add(now, -HEALTH_CHECK_CLEARS * opposite.at(now));
    }
  }
}
