package tillerlink.net.state;

import tillerlink.model.AttemptOutcome;
import tillerlink.model.Effect;
import tillerlink.net.wire.HttpRequest;

/**
 * The requests that the extension submits, whose attempts may be written only while a guard holds.
 * The guard is checked before and after each write. If this process was paused between the two
 * checks, the second one detects that the guard no longer holds, and the result of the attempt is
 * then not delivered. Confined to the event-loop thread.
 */
final class FencedRequests implements GatewayExtension.ExtensionContext {
  private final GatewayContext context;
  private final RequestRegistry requests;

  FencedRequests(GatewayContext context, RequestRegistry requests) {
    this.context = context;
    this.requests = requests;
  }

  @Override
  public void submit(
      HttpRequest request, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    requests.submit(request, guard, reply);
  }

  @Override
  public void recheckGuards() {
    requests.unsettledGuarded().stream()
        .filter(pending -> !pending.hasAttemptInFlight() && !pending.guard.holds())
        .toList()
        .forEach(this::withdraw);
  }

  /**
   * Called when an attempt has been written completely. If its guard no longer holds, the attempt
   * may have been written too late, so its result must not be delivered.
   */
  void onWritten(InFlightAttempt inFlight) {
    if (inFlight.confirmedByGuard || !inFlight.attempt.isInFlight()) {
      return;
    }
    inFlight.confirmedByGuard = inFlight.pending.guard.holds();
    if (!inFlight.confirmedByGuard) {
      inFlight.resultDiscarded = true;
      context.iteration().runInNextIteration(() -> withdraw(inFlight.pending));
    }
  }

  /**
   * Called when an attempt has ended. Notifies its guard and, if the guard does not hold, answers
   * the request.
   *
   * @param outcome the outcome that the transport reported
   * @return the outcome to be passed on: {@link AttemptOutcome#RESPONSE_LOST} for an attempt that
   *     succeeded but may have been written too late
   */
  AttemptOutcome onEnded(InFlightAttempt inFlight, AttemptOutcome outcome) {
    if (inFlight.startNotified) {
      inFlight.pending.guard.onAttemptEnded(mayRunUntil(inFlight, outcome));
    }
    if (inFlight.refusedByGuard) {
      withdraw(inFlight.pending);
    } else if (outcome == AttemptOutcome.SUCCEEDED) {
      inFlight.resultDiscarded |= !inFlight.confirmedByGuard && !inFlight.pending.guard.holds();
      if (inFlight.resultDiscarded) {
        withdraw(inFlight.pending);
        return AttemptOutcome.RESPONSE_LOST;
      }
    }
    return outcome;
  }

  /**
   * Returns the time until which the engine may still be executing an attempt that has ended here,
   * in tenths of a millisecond, or 0 if it certainly is not. Once a part of the result has arrived,
   * the attempt has been executed, even if the rest of the result is lost.
   */
  private static long mayRunUntil(InFlightAttempt inFlight, AttemptOutcome outcome) {
    boolean hasStopped =
        !outcome.mayStillBeRunning || inFlight.pages != null || inFlight.resultStarted();
    return hasStopped ? 0 : inFlight.pending.request.clientDeadline;
  }

  /**
   * Answers a request immediately because it can no longer succeed. The request is rejected if it
   * may be run again, otherwise it fails; the policy cancels the attempts that are still in flight.
   */
  private void withdraw(PendingResponse pending) {
    if (pending.isSettled()) {
      return;
    }
    boolean isPure =
        pending.request.requestClass != null
            && pending.request.requestClass.config.effect() == Effect.PURE;
    boolean mayRunAgain =
        isPure
            || pending.attempts.stream()
                .allMatch(inFlight -> inFlight.refusedByGuard || !inFlight.attempt.mayHaveRun());
    if (mayRunAgain) {
      requests.reject(pending, pending.guard.retryAfter());
    } else {
      requests.fail(pending);
    }
    context.policyEvents().clientDisconnected(pending);
  }
}
