package tillerlink.net.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Effect;
import tillerlink.net.wire.HttpRequest;

/**
 * Requests of the extension, whose attempts are written only while a guard holds. It is checked
 * before each write and after it: a pause of this process between the two shows in the second
 * check, and then nothing that came of the attempt is handed out. Owned by the event-loop thread.
 */
final class FencedRequests implements GatewayExtension.ExtensionContext {
  private final GatewayContext context;
  private final RequestRegistry requests;

  /** Those that are owed an answer. */
  private final Set<PendingResponse> open = new LinkedHashSet<>();

  FencedRequests(GatewayContext context, RequestRegistry requests) {
    this.context = context;
    this.requests = requests;
  }

  @Override
  public void submit(HttpRequest http, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    PendingResponse pending = requests.submit(http, guard, reply);
    if (pending != null) {
      open.add(pending);
    }
  }

  @Override
  public void recheckGuards() {
    List<PendingResponse> withdrawn = new ArrayList<>();
    for (Iterator<PendingResponse> i = open.iterator(); i.hasNext(); ) {
      PendingResponse pending = i.next();
      if (pending.settled()) {
        i.remove();
      } else if (pending.inFlightAttempts.stream()
              .noneMatch(inFlight -> inFlight.attempt.isInFlight())
          && !pending.guard.holds()) {
        withdrawn.add(pending);
        i.remove();
      }
    }
    withdrawn.forEach(this::withdraw);
  }

  /**
   * All of an attempt was written. If its guard does not hold any more, that may have been too
   * late.
   */
  void written(InFlightAttempt inFlight) {
    if (inFlight.confirmedByGuard || !inFlight.attempt.isInFlight()) {
      return;
    }
    inFlight.confirmedByGuard = inFlight.pending.guard.holds();
    if (!inFlight.confirmedByGuard) {
      inFlight.fencedOff = true;
      context.iteration().runInNextIteration(() -> withdraw(inFlight.pending));
    }
  }

  /**
   * What an attempt's end counts as. The answer of one that was written too late, or may have been,
   * is lost.
   */
  AttemptOutcome ended(InFlightAttempt inFlight, AttemptOutcome outcome) {
    if (inFlight.startNotified) {
      inFlight.pending.guard.onAttemptEnded(mayRunUntil(inFlight, outcome));
    }
    if (inFlight.refusedByGuard) {
      withdraw(inFlight.pending);
    } else if (outcome == AttemptOutcome.SUCCEEDED) {
      inFlight.fencedOff |= !inFlight.confirmedByGuard && !inFlight.pending.guard.holds();
      if (inFlight.fencedOff) {
        withdraw(inFlight.pending);
        return AttemptOutcome.RESPONSE_LOST;
      }
    }
    if (inFlight.pending.settled()) {
      open.remove(inFlight.pending);
    }
    return outcome;
  }

  /**
   * Up to when its engine may still be at an attempt that began. One of which pages have come has
   * run, whatever became of the rest.
   */
  private static long mayRunUntil(InFlightAttempt inFlight, AttemptOutcome outcome) {
    boolean over = !outcome.mayStillBeRunning || inFlight.pages != null || inFlight.resultStarted();
    return over ? 0 : inFlight.pending.request.clientDeadline;
  }

  /**
   * The client is answered at once, for the request can't succeed any more; the policy cancels what
   * is still in flight.
   */
  private void withdraw(PendingResponse pending) {
    open.remove(pending);
    if (pending.settled()) {
      return;
    }
    boolean pure =
        pending.request.requestClass != null
            && pending.request.requestClass.config.effect() == Effect.PURE;
    boolean again =
        pure
            || pending.inFlightAttempts.stream()
                .allMatch(inFlight -> inFlight.refusedByGuard || !inFlight.attempt.mayHaveRun());
    if (again) {
      requests.reject(pending, pending.guard.retryAfter());
    } else {
      requests.fail(pending);
    }
    context.policyEvents().clientDisconnected(pending);
  }
}
