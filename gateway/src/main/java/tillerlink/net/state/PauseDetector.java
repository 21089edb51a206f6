package tillerlink.net.state;

import tillerlink.plain.Units;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * A detector of pauses of this process, which show as event-loop iterations that begin much later
 * than they were due. It also determines which input may have arrived during a pause although it
 * was read only after it. Confined to the event-loop thread; all times are tenths of a millisecond.
 */
final class PauseDetector {
  /** The delay of an iteration beyond which the process counts as paused. */
  private static final long MIN_PAUSE = 100 * Units.TENTHS_PER_MS;

  /** The time without client input after which all input of a pause counts as read. */
  private static final long CATCH_UP_GAP = 50 * Units.TENTHS_PER_MS;

  /**
   * The limit on the time after a pause in which input may count as input of the pause. It applies
   * even if clients send without a gap.
   */
  private static final long MAX_CATCH_UP = 1000 * Units.TENTHS_PER_MS;

  private final Telemetry telemetry;

  /**
   * The time at which the next iteration is due, as set at the end of the last one; {@link
   * Long#MAX_VALUE} before the first.
   */
  private long expectedAt = Long.MAX_VALUE;

  /** The last time at which the process is known to have run before the pause. */
  private long pausedFrom;

  /** The time until which input that is read may have arrived during the pause. */
  private long unreadUntil = Long.MIN_VALUE;

  /** The time at which the process resumed after the pause. */
  private long resumedAt;

  PauseDetector(Telemetry telemetry) {
    this.telemetry = telemetry;
  }

  /**
   * Checks whether the process was paused before the iteration that begins.
   *
   * @param previousStart when the previous iteration began, in tenths of a millisecond
   * @param startedAt when this iteration begins, in tenths of a millisecond
   */
  void onIterationStarted(long previousStart, long startedAt) {
    if (expectedAt != Long.MAX_VALUE
        && startedAt > Math.max(expectedAt, previousStart) + MIN_PAUSE) {
      onPaused(previousStart, startedAt);
    }
  }

  /**
   * Records and logs a pause. A pause that begins while input of an earlier one is still being read
   * extends the earlier one.
   */
  private void onPaused(long previousStart, long startedAt) {
    telemetry.metrics().add(Counter.PAUSES);
    telemetry
        .log()
        .event(
            startedAt,
            Topic.PROCESS,
            "process paused",
            "ms",
            (startedAt - previousStart) / Units.TENTHS_PER_MS);
    pausedFrom = previousStart < unreadUntil ? pausedFrom : previousStart;
    resumedAt = startedAt;
    unreadUntil = startedAt + CATCH_UP_GAP;
  }

  /**
   * Sets when the next iteration is due; called at the end of an iteration.
   *
   * @param dueAt the time in tenths of a millisecond
   */
  void expectIterationAt(long dueAt) {
    expectedAt = dueAt;
  }

  /**
   * Records that a client sent something. If input has been read without a gap since a pause, the
   * input that follows may have arrived during the pause as well.
   */
  void onClientActivity(long now) {
    if (now < unreadUntil) {
      unreadUntil = Math.max(unreadUntil, Math.min(now + CATCH_UP_GAP, resumedAt + MAX_CATCH_UP));
    }
  }

  /**
   * Returns the earliest time at which client input that is read now may have arrived, in tenths of
   * a millisecond. Counts as client activity.
   */
  long earliestArrival(long now) {
    onClientActivity(now);
    return now < unreadUntil ? pausedFrom : now;
  }

  /**
   * Returns whether input of a pause is still being read and a deadline had not passed before that
   * pause, so that it may have passed during the pause.
   */
  boolean mayHavePassedDuringPause(long now, long deadline) {
    return now < unreadUntil && pausedFrom <= deadline;
  }
}
