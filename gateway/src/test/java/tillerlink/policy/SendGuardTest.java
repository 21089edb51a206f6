package tillerlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tillerlink.model.Circle;
import tillerlink.model.DecayingMean;
import tillerlink.model.Effect;
import tillerlink.model.Ending;
import tillerlink.model.Engine;
import tillerlink.model.Hop;
import tillerlink.model.KeyLine;
import tillerlink.model.Outcome;
import tillerlink.model.Submission;
import tillerlink.model.Track;
import tillerlink.model.TrackTerms;

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
    engine.standing = Engine.Standing.READY;
    other.standing = Engine.Standing.READY;
    other.zone = 1;
    guard.listUsableUntil(NOW + DEADLINE);
  }

  @Test
  void whatNothingSpeaksAgainstGoes() {
    Hop hop = attempt(request(Effect.EFFECTFUL, null), engine);
    assertEquals(SendVerdict.ALLOWED, guard.mayWrite(NOW, hop));
  }

  @Test
  void theRequest() {
    Submission ended = request(Effect.PURE, null);
    ended.ending = Ending.LEFT;
    assertEquals(SendVerdict.REQUEST_ENDED, guard.mayWrite(NOW, attempt(ended, engine)));
    Submission unattended = request(Effect.PURE, null);
    unattended.unattended = true;
    assertEquals(SendVerdict.CLIENT_GONE, guard.mayWrite(NOW, attempt(unattended, engine)));
    Hop calledOff = attempt(request(Effect.PURE, null), engine);
    calledOff.wantedOff = true;
    assertEquals(SendVerdict.CALLED_OFF, guard.mayWrite(NOW, calledOff));
    Hop late = attempt(request(Effect.PURE, null), engine);
    guard.listUsableUntil(NOW + 2 * DEADLINE);
    assertEquals(SendVerdict.ALLOWED, guard.mayWrite(NOW + DEADLINE - 1, late));
    assertEquals(SendVerdict.NO_TIME_LEFT, guard.mayWrite(NOW + DEADLINE, late));
  }

  @Test
  void theList() {
    Hop hop = attempt(request(Effect.PURE, null), engine);
    guard.listUsableUntil(NOW);
    assertEquals(SendVerdict.LIST_UNCONFIRMED, guard.mayWrite(NOW, hop));
    assertEquals(SendVerdict.LIST_UNCONFIRMED, guard.mayPlace(NOW, hop.submission, engine));
    assertEquals(SendVerdict.ALLOWED, guard.mayGoTo(NOW, hop.submission, engine));
    guard.listUsableUntil(NOW + 1);
    assertEquals(SendVerdict.ALLOWED, guard.mayWrite(NOW, hop));
    engine.standing = Engine.Standing.DRAINING;
    assertEquals(SendVerdict.ENGINE_NOT_READY, guard.mayWrite(NOW, hop));
    engine.standing = Engine.Standing.GONE;
    assertEquals(SendVerdict.ENGINE_NOT_READY, guard.mayGoTo(NOW, hop.submission, engine));
  }

  @Test
  void placement() {
    Submission bound = request(Effect.PURE, List.of(0));
    assertEquals(SendVerdict.ALLOWED, guard.mayWrite(NOW, attempt(bound, engine)));
    assertEquals(SendVerdict.PLACEMENT, guard.mayWrite(NOW, attempt(bound, other)));
  }

  @Test
  void repeats() {
    Submission effectful = request(Effect.EFFECTFUL, null);
    Hop first = attempt(effectful, engine);
    Hop second = attempt(effectful, other);
    assertEquals(SendVerdict.REPEAT, guard.mayWrite(NOW, second));
    first.outcome = Outcome.SEVERED;
    assertEquals(SendVerdict.REPEAT, guard.mayWrite(NOW, second));
    first.outcome = Outcome.FULL;
    assertEquals(SendVerdict.ALLOWED, guard.mayWrite(NOW, second));
    Submission keyed = request(Effect.RECEIPTED, null);
    attempt(keyed, engine).outcome = Outcome.SEVERED;
    Hop repeat = attempt(keyed, other);
    assertEquals(SendVerdict.ALLOWED, guard.mayWrite(NOW + 10_000 - TICK - 1, repeat));
    assertEquals(SendVerdict.REPEAT, guard.mayWrite(NOW + 10_000 - TICK, repeat));
  }

  @Test
  void order() {
    KeyLine line = new KeyLine();
    Submission before = new Submission("a", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, line);
    Submission after = new Submission("b", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, line);
    before.track = track(Effect.PURE, null, true);
    after.track = before.track;
    line.members.add(before);
    line.members.add(after);
    Hop hop = attempt(after, engine);
    assertEquals(SendVerdict.ORDER, guard.mayWrite(NOW, hop));
    before.ending = Ending.FULFILLED;
    assertEquals(SendVerdict.ALLOWED, guard.mayWrite(NOW, hop));
  }

  /** What waits longer on its way out than this is decided on anew. */
  @Test
  void aWriteIsBoundedByListClientAndDelay() {
    Hop hop = attempt(request(Effect.PURE, null), engine);
    assertEquals(NOW + SendGuard.WRITE_WITHIN, guard.writeBefore(NOW, hop));
    assertEquals(NOW + DEADLINE, guard.writeBefore(NOW + DEADLINE - 1, hop));
    guard.listUsableUntil(NOW + 10);
    assertEquals(NOW + 10, guard.writeBefore(NOW, hop));
  }

  private static Submission request(Effect effect, List<Integer> zones) {
    Submission request = new Submission("a", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, null);
    request.track = track(effect, zones, false);
    return request;
  }

  private static Track track(Effect effect, List<Integer> zones, boolean ordered) {
    return new Track(
        0,
        new TrackTerms(
            effect,
            Circle.ALL,
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

  private static Hop attempt(Submission request, Engine to) {
    Hop hop = new Hop(request, to, NOW, 1, 1, false);
    request.hops.add(hop);
    return hop;
  }
}
