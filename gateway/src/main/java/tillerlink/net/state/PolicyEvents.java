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
 * Passes events to the dispatch policy, wakes it up at the time that it requested, and lets it
 * apply its decisions once at the end of each iteration in which an event occurred. Confined to the
 * event-loop thread; all times are tenths of a millisecond.
 */
final class PolicyEvents {
  private final IterationContext iteration;
  private final InvariantReporter invariants;
  private final Telemetry telemetry;
  private DispatchPolicy policy;
  private long wakeupAt = Long.MAX_VALUE;

  /** The policy has received an event and has not applied its decisions since. */
  private boolean decisionsPending = true;

  PolicyEvents(IterationContext iteration, InvariantReporter invariants, Telemetry telemetry) {
    this.iteration = iteration;
    this.invariants = invariants;
    this.telemetry = telemetry;
  }

  /**
   * Sets the policy. Called once, before the first event. The policy cannot be passed to the
   * constructor, because it is created with its actions, which need this object.
   */
  void setPolicy(DispatchPolicy created) {
    policy = created;
  }

  // ---- requests ----

  /** Called when a request has been accepted. */
  void requestArrived(PendingResponse pending) {
    telemetry.metrics().add(Counter.REQUESTS_ACCEPTED);
    invariants.requestAccepted();
    policy.onRequestArrived(iteration.now(), pending.request);
    decisionsPending = true;
  }

  /**
   * Called when the client has cancelled the request, or when it was answered because its guard
   * does not hold. The policy cancels the attempts that are still in flight.
   */
  void clientDisconnected(PendingResponse pending) {
    telemetry.metrics().add(Counter.REQUESTS_CANCELLED);
    policy.onClientDisconnected(iteration.now(), pending.request);
    decisionsPending = true;
  }

  /**
   * Called when a connection has begun or ceased to wait for the answer to a request.
   *
   * @param unattended whether no connection is waiting; the client may still fetch the answer later
   */
  void attendanceChanged(PendingResponse pending, boolean unattended) {
    if (!pending.isSettled() && pending.request.unattended != unattended) {
      policy.onClientAttendanceChanged(iteration.now(), pending.request, unattended);
      decisionsPending = true;
    }
  }

  /** Lets the policy decide the final answer to the request, because the process is ending. */
  void shutdownDeadline(PendingResponse pending) {
    policy.onShutdownDeadline(iteration.now(), pending.request);
  }

  // ---- attempts ----

  /** Called when an attempt has reported progress. */
  void attemptProgressed(InFlightAttempt inFlight, AttemptProgress progress, double level) {
    policy.onAttemptProgress(iteration.now(), inFlight.attempt, progress, level);
    decisionsPending = true;
  }

  /**
   * Called when an attempt has ended.
   *
   * @param elapsed the time since the attempt was sent, in tenths of a millisecond
   */
  void attemptEnded(InFlightAttempt inFlight, AttemptOutcome outcome, long elapsed) {
    policy.onAttemptEnded(
        iteration.now(),
        inFlight.attempt,
        outcome,
        elapsed,
        inFlight.pending.isSettled(),
        0,
        0,
        null);
    decisionsPending = true;
  }

  /** Returns whether an attempt may be written now, or why not. */
  SendVerdict checkWrite(Attempt attempt) {
    return policy.checkWrite(iteration.now(), attempt);
  }

  /** Returns the time until which the first byte of an attempt may be written. */
  long writeDeadline(InFlightAttempt inFlight) {
    return policy.writeDeadline(iteration.now(), inFlight.attempt);
  }

  // ---- endpoint list ----

  /**
   * Called when the state of the endpoint list has changed.
   *
   * @param usableUntil the time until which the list may be used unless the state changes again
   */
  void endpointListStateChanged(EndpointListState state, long usableUntil) {
    policy.onEndpointListStateChanged(iteration.now(), state, usableUntil);
    decisionsPending = true;
  }

  // ---- time ----

  /** Schedules a wake-up of the policy; an earlier one that is already scheduled remains. */
  void scheduleWakeup(long at) {
    wakeupAt = Math.min(wakeupAt, at);
  }

  /** Returns the time of the next wake-up, or {@link Long#MAX_VALUE} if none is scheduled. */
  long wakeupAt() {
    return wakeupAt;
  }

  /** Wakes up the policy if that is due. */
  void wakeUpIfDue() {
    if (iteration.now() >= wakeupAt) {
      wakeupAt = Long.MAX_VALUE;
      policy.onWakeup(iteration.now());
      decisionsPending = true;
    }
  }

  /** Makes the policy apply its decisions in this iteration even if no event is passed to it. */
  void requireDecisions() {
    decisionsPending = true;
  }

  /** Lets the policy apply its decisions if an event has occurred since the last time. */
  void applyDecisions() {
    if (decisionsPending) {
      decisionsPending = false;
      policy.applyDecisions(iteration.now());
    }
  }
}
