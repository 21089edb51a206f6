package tillerlink.net.state;

import java.util.Set;
import tillerlink.policy.Invariant;
import tillerlink.policy.InvariantMonitor;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * Passes writes and answers to the {@link InvariantMonitor}, and counts and logs violations.
 * Confined to the event-loop thread; all times are tenths of a millisecond.
 */
final class InvariantReporter {
  private final IterationContext iteration;
  private final InvariantMonitor monitor;
  private final PauseDetector pauses;
  private final EndpointListStatus listStatus;
  private final Telemetry telemetry;

  InvariantReporter(
      IterationContext iteration,
      InvariantMonitor monitor,
      PauseDetector pauses,
      EndpointListStatus listStatus,
      Telemetry telemetry) {
    this.iteration = iteration;
    this.monitor = monitor;
    this.pauses = pauses;
    this.listStatus = listStatus;
    this.telemetry = telemetry;
  }

  /** Called when a request has been accepted. */
  void requestAccepted() {
    monitor.onRequestAccepted(iteration.now());
  }

  /**
   * Checks an attempt that was written.
   *
   * @param firstByteAt when its first byte was written
   * @param writeDeadline the time by which its first byte had to be written
   * @param timeLimit how long the client waits, as sent to the engine
   */
  void attemptSent(InFlightAttempt inFlight, long firstByteAt, long writeDeadline, long timeLimit) {
    report(
        monitor.checkWritten(
            new InvariantMonitor.Written(inFlight.attempt, firstByteAt, writeDeadline, timeLimit)),
        inFlight.pending,
        inFlight.engineId());
  }

  /** Checks the answer to a request when it is ready. */
  void answerReady(PendingResponse pending) {
    long now = iteration.now();
    if (pauses.mayHavePassedDuringPause(now, pending.request.clientDeadline)) {
      // A paused process cannot answer in time; the pause detector counts the pause itself.
      return;
    }
    report(monitor.checkAnswer(now, pending.request), pending, "none");
  }

  private void report(Set<Invariant> violations, PendingResponse pending, String engine) {
    for (Invariant invariant : violations) {
      telemetry.metrics().add(Counter.INVARIANT_VIOLATIONS, invariant);
      telemetry
          .log()
          .event(
              iteration.now(),
              Topic.INVARIANT,
              "invariant violated",
              "invariant",
              invariant,
              "id",
              pending.id(),
              "engine",
              engine,
              "attempts",
              pending.attempts.size(),
              "list_state",
              listStatus.state(),
              "version",
              listStatus.version());
    }
  }
}
