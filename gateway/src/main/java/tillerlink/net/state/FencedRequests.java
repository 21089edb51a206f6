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
 * Submissions whose hops go out only while a guard holds. It is asked before each write and after
 * it: a pause of this process between the two shows in the second answer, and then nothing that
 * came of the hop is handed out.
 */
final class FencedRequests implements GatewayExtension.ExtensionContext {
  private final Gateway gateway;
  private final ClientRequestHandler clients;

  /** Those that are owed an answer. */
  private final Set<PendingResponse> open = new LinkedHashSet<>();

  FencedRequests(Gateway gateway, ClientRequestHandler clients) {
    this.gateway = gateway;
    this.clients = clients;
  }

  @Override
  public void submit(HttpRequest http, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    PendingResponse call = clients.submit(http, guard, reply);
    if (call != null) {
      open.add(call);
    }
  }

  @Override
  public void recheckGuards() {
    List<PendingResponse> withdrawn = new ArrayList<>();
    for (Iterator<PendingResponse> i = open.iterator(); i.hasNext(); ) {
      PendingResponse call = i.next();
      if (call.settled()) {
        i.remove();
      } else if (call.flights.stream().noneMatch(flight -> flight.hop.isOut())
          && !call.guard.holds()) {
        withdrawn.add(call);
        i.remove();
      }
    }
    withdrawn.forEach(this::withdraw);
  }

  /** All of a hop was written. If its guard does not hold any more, that may have been too late. */
  void written(InFlightAttempt flight) {
    if (flight.sound || !flight.hop.isOut()) {
      return;
    }
    flight.sound = flight.call.guard.holds();
    if (!flight.sound) {
      flight.stale = true;
      gateway.runInNextIteration(() -> withdraw(flight.call));
    }
  }

  /**
   * What a hop's end counts as. The answer of one that was written too late, or may have been, is
   * lost.
   */
  AttemptOutcome ended(InFlightAttempt flight, AttemptOutcome outcome) {
    if (flight.began) {
      flight.call.guard.onAttemptEnded(mayRunUntil(flight, outcome));
    }
    if (flight.refused) {
      withdraw(flight.call);
    } else if (outcome == AttemptOutcome.FULFILLED) {
      flight.stale |= !flight.sound && !flight.call.guard.holds();
      if (flight.stale) {
        withdraw(flight.call);
        return AttemptOutcome.SPOILT;
      }
    }
    if (flight.call.settled()) {
      open.remove(flight.call);
    }
    return outcome;
  }

  /**
   * Up to when its engine may still be at a hop that began. One of which pages have come has run,
   * whatever became of the rest.
   */
  private static long mayRunUntil(InFlightAttempt flight, AttemptOutcome outcome) {
    boolean over = !outcome.leavesDoubt || flight.pages != null || flight.begun();
    return over ? 0 : flight.call.submission.leavesAt;
  }

  /**
   * The client is told at once, for it can't be fulfilled as it is; the module calls off what is
   * still out.
   */
  private void withdraw(PendingResponse call) {
    open.remove(call);
    if (call.settled()) {
      return;
    }
    boolean again =
        call.submission.track != null && call.submission.track.terms.effect() == Effect.PURE
            || call.flights.stream().allMatch(flight -> flight.refused || !flight.hop.mayHaveRun());
    if (again) {
      clients.turnBack(call, call.guard.retryAfter());
    } else {
      clients.breakOff(call);
    }
    gateway.left(call);
  }
}
