package tillerlink.net.state;

import java.util.Set;
import tillerlink.policy.Invariant;
import tillerlink.policy.InvariantMonitor;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * Checks writes and answers against the invariants, and counts and logs what violates them. Owned
 * by the event-loop thread.
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

  /** A request was accepted. */
  void requestAccepted() {
    monitor.onRequestAccepted(iteration.now());
  }

  /**
   * An attempt was written.
   *
   * @param before by when its first byte had to be written
   * @param limit how long its engine was told that the client waits
   */
  void attemptSent(InFlightAttempt inFlight, long firstByteAt, long before, long limit) {
    report(
        monitor.checkWritten(
            new InvariantMonitor.Written(inFlight.attempt, firstByteAt, before, limit)),
        inFlight.pending,
        inFlight.engineId());
  }

  /** The answer to a request is ready. */
  void answerReady(PendingResponse pending) {
    long now = iteration.now();
    if (pauses.mayHavePassedDuringPause(now, pending.request.clientDeadline)) {
      // No program can answer in time while it is paused; the pause itself is counted.
      return;
    }
    report(monitor.checkAnswer(now, pending.request), pending, "none");
  }

  private void report(Set<Invariant> broken, PendingResponse pending, String engine) {
    for (Invariant invariant : broken) {
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
              pending.inFlightAttempts.size(),
              "list_state",
              listStatus.state(),
              "version",
              listStatus.version());
    }
  }
}
