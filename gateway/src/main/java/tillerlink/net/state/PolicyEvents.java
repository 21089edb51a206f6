package tillerlink.net.state;

import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.EndpointListState;
import tillerlink.port.SendVerdict;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.Telemetry;

/**
 * Notifies the policy of events, wakes it up when it asked for that, and has it apply its decisions
 * once at the end of an iteration in which anything happened. Owned by the event-loop thread.
 */
final class PolicyEvents {
  private final IterationContext iteration;
  private final InvariantReporter invariants;
  private final Telemetry telemetry;
  private DispatchPolicy policy;
  private long wakeupAt = Long.MAX_VALUE;

  /** The policy was notified of something and has not applied its decisions since. */
  private boolean decisionsPending = true;

  PolicyEvents(IterationContext iteration, InvariantReporter invariants, Telemetry telemetry) {
    this.iteration = iteration;
    this.invariants = invariants;
    this.telemetry = telemetry;
  }

  /**
   * Called once, before the first event: the policy is created with its actions, which need this.
   */
  void setPolicy(DispatchPolicy created) {
    policy = created;
  }

  // ---- requests ----

  void requestArrived(PendingResponse pending) {
    telemetry.metrics().add(Counter.REQUESTS_ACCEPTED);
    invariants.requestAccepted();
    policy.onRequestArrived(iteration.now(), pending.request);
    decisionsPending = true;
  }

  /** The client cancelled the request, or nothing is owed to it any more. */
  void clientDisconnected(PendingResponse pending) {
    telemetry.metrics().add(Counter.REQUESTS_CANCELLED);
    policy.onClientDisconnected(iteration.now(), pending.request);
    decisionsPending = true;
  }

  /**
   * No connection waits for the answer any more, though the client may fetch it again; or one does
   * again.
   */
  void attendanceChanged(PendingResponse pending, boolean unattended) {
    if (!pending.settled() && pending.request.unattended != unattended) {
      policy.onClientAttendanceChanged(iteration.now(), pending.request, unattended);
      decisionsPending = true;
    }
  }

  /** The process ends: the policy decides the final answer to the request. */
  void shutdownDeadline(PendingResponse pending) {
    policy.onShutdownDeadline(iteration.now(), pending.request);
  }

  // ---- attempts ----

  void attemptProgressed(InFlightAttempt inFlight, AttemptProgress progress, double level) {
    policy.onAttemptProgress(iteration.now(), inFlight.attempt, progress, level);
    decisionsPending = true;
  }

  /**
   * @param elapsed since it was sent, in tenths of a millisecond
   */
  void attemptEnded(InFlightAttempt inFlight, AttemptOutcome outcome, long elapsed) {
    policy.onAttemptEnded(
        iteration.now(),
        inFlight.attempt,
        outcome,
        elapsed,
        inFlight.pending.settled(),
        0,
        0,
        null);
    decisionsPending = true;
  }

  /** Whether an attempt may still be written now. */
  SendVerdict checkWrite(Attempt attempt) {
    return policy.checkWrite(iteration.now(), attempt);
  }

  /** Until when the first byte of an attempt may be written. */
  long writeDeadline(InFlightAttempt inFlight) {
    return policy.writeDeadline(iteration.now(), inFlight.attempt);
  }

  // ---- endpoint list ----

  /**
   * @param usableUntil until when the list may be used as things are
   */
  void endpointListStateChanged(EndpointListState state, long usableUntil) {
    policy.onEndpointListStateChanged(iteration.now(), state, usableUntil);
    decisionsPending = true;
  }

  // ---- time ----

  /** The policy is to be woken up then, or earlier if it asked for that before. */
  void scheduleWakeup(long at) {
    wakeupAt = Math.min(wakeupAt, at);
  }

  long wakeupAt() {
    return wakeupAt;
  }

  /** Wakes the policy up if that is due. */
  void wakeUpIfDue() {
    if (iteration.now() >= wakeupAt) {
      wakeupAt = Long.MAX_VALUE;
      policy.onWakeup(iteration.now());
      decisionsPending = true;
    }
  }

  /** Something outside of these events calls for decisions in this iteration. */
  void requireDecisions() {
    decisionsPending = true;
  }

  /** Has the policy apply its decisions if anything happened. */
  void applyDecisions() {
    if (decisionsPending) {
      decisionsPending = false;
      policy.applyDecisions(iteration.now());
    }
  }
}
