package tillerlink.net.state;

import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.plain.Units;
import tillerlink.port.SendVerdict;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/** The counters and event lines of attempts and requests. Confined to the event-loop thread. */
final class DispatchLog {
  private final IterationContext iteration;
  private final Telemetry telemetry;

  DispatchLog(IterationContext iteration, Telemetry telemetry) {
    this.iteration = iteration;
    this.telemetry = telemetry;
  }

  /** Counts an attempt that the policy ordered, and logs it if it is not the first one. */
  void attemptOrdered(InFlightAttempt inFlight) {
    telemetry.metrics().add(Counter.ATTEMPTS_ORDERED);
    int number = inFlight.attempt.number;
    if (number > 0) {
      telemetry.metrics().add(Counter.ATTEMPTS_REPEATED);
      log(
          Topic.ATTEMPT,
          "attempt repeated",
          "id",
          inFlight.id(),
          "attempt",
          number,
          "engine",
          inFlight.engineId(),
          "after",
          inFlight.attempt.request.attempts.get(number - 1).outcome);
    }
  }

  /** Counts an attempt that was written to its engine. */
  void attemptSent() {
    telemetry.metrics().add(Counter.ATTEMPTS_WRITTEN);
  }

  /** Counts and logs an attempt that was not written because the verdict did not allow it. */
  void attemptBlocked(InFlightAttempt inFlight, SendVerdict verdict) {
    telemetry.metrics().add(Counter.ATTEMPTS_BLOCKED, verdict);
    log(
        Topic.ATTEMPT,
        "attempt blocked",
        "id",
        inFlight.id(),
        "attempt",
        inFlight.attempt.number,
        "engine",
        inFlight.engineId(),
        "reason",
        verdict);
  }

  /** Logs an attempt that was cancelled. */
  void attemptCancelled(InFlightAttempt inFlight) {
    log(
        Topic.ATTEMPT,
        "attempt cancelled",
        "id",
        inFlight.id(),
        "attempt",
        inFlight.attempt.number,
        "engine",
        inFlight.engineId(),
        "client_cancelled",
        inFlight.pending.cancelled,
        "request_ended",
        inFlight.attempt.request.outcome != null);
  }

  /**
   * Counts an attempt that has ended, and logs it unless it succeeded.
   *
   * @param elapsed the time since the attempt was sent, in tenths of a millisecond
   */
  void attemptEnded(InFlightAttempt inFlight, AttemptOutcome outcome, long elapsed) {
    telemetry.metrics().add(Counter.ATTEMPTS_ENDED, outcome);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      telemetry.metrics().add(Counter.REQUESTS_ANSWERED);
      return;
    }
    log(
        Topic.ATTEMPT,
        "attempt ended",
        "id",
        inFlight.id(),
        "attempt",
        inFlight.attempt.number,
        "engine",
        inFlight.engineId(),
        "outcome",
        outcome,
        "after_ms",
        elapsed / Units.TENTHS_PER_MS,
        "written",
        inFlight.passedToChannel());
  }

  /** Counts and logs a request that was rejected. */
  void requestRejected(Request request) {
    requestTerminated(Counter.REQUESTS_REJECTED, "request rejected", request);
  }

  /** Counts and logs a request that failed. */
  void requestFailed(Request request) {
    requestTerminated(Counter.REQUESTS_FAILED, "request failed", request);
  }

  private void requestTerminated(Counter counter, String event, Request request) {
    if (request.terminationReason == null) {
      telemetry.metrics().add(counter);
    } else {
      telemetry.metrics().add(counter, request.terminationReason);
    }
    log(
        Topic.REQUEST,
        event,
        "id",
        ((PendingResponse) request.tag).id(),
        "reason",
        request.terminationReason,
        "attempts",
        request.attempts.size(),
        "after_ms",
        (iteration.now() - request.arrivedAt) / Units.TENTHS_PER_MS);
  }

  private void log(Topic topic, String event, Object... fields) {
    telemetry.log().event(iteration.now(), topic, event, fields);
  }
}
