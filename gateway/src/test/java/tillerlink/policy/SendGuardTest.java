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

/**
 * Every reason for which the guard does not let an attempt go, one by one. Times are tenths of a
 * millisecond.
 */
class SendGuardTest {
  private static final long NOW = 1_000_000;
  private static final long DEADLINE = 50_000;
  private static final long TICK = 50;

  private final SendGuard guard = new SendGuard(TICK);
  private final Engine engine = new Engine("e1");
  private final Engine other = new Engine("e2");

  @BeforeEach
  void ready() {
    engine.standing = Status.READY;
    other.standing = Status.READY;
    other.zone = 1;
    guard.endpointsUsableUntil(NOW + DEADLINE);
  }

  @Test
  void whatNothingSpeaksAgainstGoes() {
    Attempt hop = attempt(request(Effect.EFFECTFUL, null), engine);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, hop));
  }

  @Test
  void theRequest() {
    Request ended = request(Effect.PURE, null);
    ended.ending = RequestOutcome.LEFT;
    assertEquals(SendVerdict.REQUEST_ENDED, guard.checkWrite(NOW, attempt(ended, engine)));
    Request unattended = request(Effect.PURE, null);
    unattended.unattended = true;
    assertEquals(SendVerdict.CLIENT_GONE, guard.checkWrite(NOW, attempt(unattended, engine)));
    Attempt calledOff = attempt(request(Effect.PURE, null), engine);
    calledOff.wantedOff = true;
    assertEquals(SendVerdict.CALLED_OFF, guard.checkWrite(NOW, calledOff));
    Attempt late = attempt(request(Effect.PURE, null), engine);
    guard.endpointsUsableUntil(NOW + 2 * DEADLINE);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW + DEADLINE - 1, late));
    assertEquals(SendVerdict.NO_TIME_LEFT, guard.checkWrite(NOW + DEADLINE, late));
  }

  @Test
  void theList() {
    Attempt hop = attempt(request(Effect.PURE, null), engine);
    guard.endpointsUsableUntil(NOW);
    assertEquals(SendVerdict.LIST_UNCONFIRMED, guard.checkWrite(NOW, hop));
    assertEquals(SendVerdict.LIST_UNCONFIRMED, guard.checkPlacement(NOW, hop.submission, engine));
    assertEquals(SendVerdict.ALLOWED, guard.checkEndpoint(NOW, hop.submission, engine));
    guard.endpointsUsableUntil(NOW + 1);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, hop));
    engine.standing = Status.DRAINING;
    assertEquals(SendVerdict.ENGINE_NOT_READY, guard.checkWrite(NOW, hop));
    engine.standing = Status.GONE;
    assertEquals(SendVerdict.ENGINE_NOT_READY, guard.checkEndpoint(NOW, hop.submission, engine));
  }

  @Test
  void placement() {
    Request bound = request(Effect.PURE, List.of(0));
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, attempt(bound, engine)));
    assertEquals(SendVerdict.PLACEMENT, guard.checkWrite(NOW, attempt(bound, other)));
  }

  @Test
  void repeats() {
    Request effectful = request(Effect.EFFECTFUL, null);
    Attempt first = attempt(effectful, engine);
    Attempt second = attempt(effectful, other);
    assertEquals(SendVerdict.REPEAT, guard.checkWrite(NOW, second));
    first.outcome = AttemptOutcome.SEVERED;
    assertEquals(SendVerdict.REPEAT, guard.checkWrite(NOW, second));
    first.outcome = AttemptOutcome.FULL;
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, second));
    Request keyed = request(Effect.RECEIPTED, null);
    attempt(keyed, engine).outcome = AttemptOutcome.SEVERED;
    Attempt repeat = attempt(keyed, other);
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW + 10_000 - TICK - 1, repeat));
    assertEquals(SendVerdict.REPEAT, guard.checkWrite(NOW + 10_000 - TICK, repeat));
  }

  @Test
  void order() {
    KeyedRequestQueue line = new KeyedRequestQueue();
    Request before = new Request("a", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, line);
    Request after = new Request("b", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, line);
    before.track = track(Effect.PURE, null, true);
    after.track = before.track;
    line.members.add(before);
    line.members.add(after);
    Attempt hop = attempt(after, engine);
    assertEquals(SendVerdict.ORDER, guard.checkWrite(NOW, hop));
    before.ending = RequestOutcome.FULFILLED;
    assertEquals(SendVerdict.ALLOWED, guard.checkWrite(NOW, hop));
  }

  /** What waits longer on its way out than this is decided on anew. */
  @Test
  void aWriteIsBoundedByListClientAndDelay() {
    Attempt hop = attempt(request(Effect.PURE, null), engine);
    assertEquals(NOW + SendGuard.WRITE_WITHIN, guard.writeDeadline(NOW, hop));
    assertEquals(NOW + DEADLINE, guard.writeDeadline(NOW + DEADLINE - 1, hop));
    guard.endpointsUsableUntil(NOW + 10);
    assertEquals(NOW + 10, guard.writeDeadline(NOW, hop));
  }

  private static Request request(Effect effect, List<Integer> zones) {
    Request request = new Request("a", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, null);
    request.track = track(effect, zones, false);
    return request;
  }

  private static RequestClass track(Effect effect, List<Integer> zones, boolean ordered) {
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

  private static Attempt attempt(Request request, Engine to) {
    Attempt hop = new Attempt(request, to, NOW, 1, 1, false);
    request.hops.add(hop);
    return hop;
  }
}
