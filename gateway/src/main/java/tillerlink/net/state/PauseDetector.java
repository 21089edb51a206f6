package tillerlink.net.state;

import tillerlink.plain.Units;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * Detects pauses of this process by iterations that begin much later than they were due, and knows
 * which input may have arrived during a pause and was read only after it. Owned by the event-loop
 * thread; all times are tenths of a millisecond.
 */
final class PauseDetector {
  /** An iteration that begins so much later than it was due means that the process was paused. */
  private static final long MIN_PAUSE = 100 * Units.TENTHS_PER_MS;

  /** Once no client has sent anything for so long, all input of the pause has been read. */
  private static final long CATCH_UP = 50 * Units.TENTHS_PER_MS;

  /** However long clients go on sending, input counts as that of the pause no longer than this. */
  private static final long MAX_CATCH_UP = 1000 * Units.TENTHS_PER_MS;

  private final Telemetry telemetry;

  /**
   * When the next iteration was due as of the last one; {@link Long#MAX_VALUE} before the first.
   */
  private long expectedAt = Long.MAX_VALUE;

  /** The last moment before the pause. */
  private long pausedFrom;

  /** Until when what is read may have arrived during the pause. */
  private long unreadUntil = Long.MIN_VALUE;

  private long resumedAt;

  PauseDetector(Telemetry telemetry) {
    this.telemetry = telemetry;
  }

  /**
   * An iteration begins.
   *
   * @param previous when the one before it began
   */
  void onIterationStarted(long previous, long clock) {
    if (expectedAt != Long.MAX_VALUE && clock > Math.max(expectedAt, previous) + MIN_PAUSE) {
      onPaused(previous, clock);
    }
  }

  private void onPaused(long previous, long clock) {
    telemetry.metrics().add(Counter.PAUSES);
    telemetry
        .log()
        .event(
            clock, Topic.PROCESS, "process paused", "ms", (clock - previous) / Units.TENTHS_PER_MS);
    pausedFrom = previous < unreadUntil ? pausedFrom : previous;
    resumedAt = clock;
    unreadUntil = clock + CATCH_UP;
  }

  /** An iteration is over; the next one is due then. */
  void expectIterationAt(long dueAt) {
    expectedAt = dueAt;
  }

  /**
   * A client sent something: if that continues from a pause without a gap, what follows may have
   * arrived during the pause as well.
   */
  void onClientActivity(long now) {
    if (now < unreadUntil) {
      unreadUntil = Math.max(unreadUntil, Math.min(now + CATCH_UP, resumedAt + MAX_CATCH_UP));
    }
  }

  /** When what a client sent and is read now may have arrived at the earliest. */
  long earliestArrival(long now) {
    onClientActivity(now);
    return now < unreadUntil ? pausedFrom : now;
  }

  /** Whether a deadline that had not passed before the pause may have passed during it. */
  boolean mayHavePassedDuringPause(long now, long deadline) {
    return now < unreadUntil && pausedFrom <= deadline;
  }
}
