package tillerlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.DecayingMean;
import tillerlink.model.DeduplicationGroup;
import tillerlink.model.Effect;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;
import tillerlink.model.RequestClassConfig;
import tillerlink.model.RequestOutcome;
import tillerlink.port.SendVerdict;

/** Tests each reason for which the guard denies an attempt. Times are tenths of a millisecond. */
class SendGuardTest {
  private static final long NOW = 1_000_000;
  private static final long DEADLINE = 50_000;
  private static final long TICK = 50;

  private final SendGuard guard = new SendGuard(TICK);
  private final Engine engine = new Engine("e1");
  private final Engine otherEngine = new Engine("e2");

  @BeforeEach
  void makeEnginesReady() {
    engine.status = Status.READY;
    otherEngine.status = Status.READY;
    otherEngine.zone = 1;
    guard.setListUsableUntil(NOW + DEADLINE);
  }

  @Test
  void attemptThatBreaksNoRuleIsAllowed() {
    Attempt attempt = attempt(request(Effect.EFFECTFUL, null), engine);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, attempt));
  }

  @Test
  void endedUnattendedCancelledAndLateRequestsAreDenied() {
    Request ended = request(Effect.PURE, null);
    ended.outcome = RequestOutcome.CLIENT_DISCONNECTED;
    assertEquals(SendVerdict.REQUEST_ENDED, guard.checkWrite(NOW, attempt(ended, engine)));
    Request unattended = request(Effect.PURE, null);
    unattended.unattended = true;
    assertEquals(SendVerdict.CLIENT_GONE, guard.checkWrite(NOW, attempt(unattended, engine)));
    Attempt cancelled = attempt(request(Effect.PURE, null), engine);
    cancelled.setCancelRequested(true);
    assertEquals(SendVerdict.CANCELLED, guard.checkWrite(NOW, cancelled));
    Attempt late = attempt(request(Effect.PURE, null), engine);
    guard.setListUsableUntil(NOW + 2 * DEADLINE);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW + DEADLINE - 1, late));
    assertEquals(SendVerdict.NO_TIME_LEFT, guard.checkWrite(NOW + DEADLINE, late));
  }

  @Test
  void unconfirmedListsAndEnginesThatAreNotReadyAreDenied() {
    Attempt attempt = attempt(request(Effect.PURE, null), engine);
    guard.setListUsableUntil(NOW);
    assertEquals(SendVerdict.LIST_UNCONFIRMED, guard.checkWrite(NOW, attempt));
    assertEquals(SendVerdict.LIST_UNCONFIRMED, guard.checkPlacement(NOW, attempt.request, engine));
    assertEquals(SendVerdict.ALLOWED, guard.checkEndpoint(NOW, attempt.request, engine));
    guard.setListUsableUntil(NOW + 1);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, attempt));
    engine.status = Status.DRAINING;
    assertEquals(SendVerdict.ENGINE_NOT_READY, guard.checkWrite(NOW, attempt));
    engine.status = Status.GONE;
    assertEquals(SendVerdict.ENGINE_NOT_READY, guard.checkEndpoint(NOW, attempt.request, engine));
  }

  @Test
  void forbiddenPlacementIsDenied() {
    Request restricted = request(Effect.PURE, List.of(0));
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, attempt(restricted, engine)));
    assertEquals(SendVerdict.PLACEMENT, guard.checkWrite(NOW, attempt(restricted, otherEngine)));
  }

  @Test
  void retriesThatMayRunTwiceAreDenied() {
    Request effectful = request(Effect.EFFECTFUL, null);
    Attempt first = attempt(effectful, engine);
    Attempt second = attempt(effectful, otherEngine);
    assertEquals(SendVerdict.REPEAT, guard.checkWrite(NOW, second));
    first.outcome = AttemptOutcome.CONNECTION_LOST;
    assertEquals(SendVerdict.REPEAT, guard.checkWrite(NOW, second));
    first.outcome = AttemptOutcome.REJECTED;
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, second));
    Request keyed = request(Effect.RECEIPTED, null);
    attempt(keyed, engine).outcome = AttemptOutcome.CONNECTION_LOST;
    Attempt retry = attempt(keyed, otherEngine);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW + 10_000 - TICK - 1, retry));
    assertEquals(SendVerdict.REPEAT, guard.checkWrite(NOW + 10_000 - TICK, retry));
  }

  @Test
  void requestsOutOfOrderAreDenied() {
    KeyedRequestQueue keyQueue = new KeyedRequestQueue();
    Request earlier = new Request("a", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, keyQueue);
    Request later = new Request("b", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, keyQueue);
    earlier.requestClass = requestClass(Effect.PURE, null, true);
    later.requestClass = earlier.requestClass;
    keyQueue.requests.add(earlier);
    keyQueue.requests.add(later);
    Attempt attempt = attempt(later, engine);
    assertEquals(SendVerdict.ORDER, guard.checkWrite(NOW, attempt));
    earlier.outcome = RequestOutcome.SUCCEEDED;
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, attempt));
  }

  /** An attempt that is still not written by its deadline is decided on again. */
  @Test
  void writeDeadlineIsBoundedByListClientAndDelay() {
    Attempt attempt = attempt(request(Effect.PURE, null), engine);
    assertEquals(NOW + SendGuard.MAX_WRITE_DELAY, guard.writeDeadline(NOW, attempt));
    assertEquals(NOW + DEADLINE, guard.writeDeadline(NOW + DEADLINE - 1, attempt));
    guard.setListUsableUntil(NOW + 10);
    assertEquals(NOW + 10, guard.writeDeadline(NOW, attempt));
  }

  private static Request request(Effect effect, List<Integer> zones) {
    Request request = new Request("a", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, null);
    request.requestClass = requestClass(effect, zones, false);
    return request;
  }

  private static RequestClass requestClass(Effect effect, List<Integer> zones, boolean ordered) {
    return new RequestClass(
        0,
        new RequestClassConfig(
            effect,
            DeduplicationGroup.ALL,
            10_000,
            DEADLINE,
            0,
            DEADLINE,
            1,
            0,
            1,
            false,
            false,
            ordered,
            zones,
            null),
        new DecayingMean(1, 1, 1),
        new DecayingMean(1, 1, 1),
        new DecayingMean(1, 1, 1),
        new DecayingMean(1, 1, 1));
  }

  private static Attempt attempt(Request request, Engine engine) {
    Attempt attempt = new Attempt(request, engine, NOW, 1, 1, false);
    request.attempts.add(attempt);
    return attempt;
  }
}
