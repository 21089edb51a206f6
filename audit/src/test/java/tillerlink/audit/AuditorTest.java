package tillerlink.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.fleet.Fleet;
import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/** A violation of each rule is injected and reported, and so is none without one. */
class AuditorTest {
  private static final long T = 1_000_000;
  private static final int PURE = 0;
  private static final int RECEIPTED = 1;
  private static final int EFFECTFUL = 2;
  private static final int BOUND = 3;
  private static final int ORDERED = 4;

  private final Auditor auditor;

  AuditorTest() {
    List<RequestClassSpec> requestClasses =
        List.of(
            requestClass("pure", Effect.PURE),
            requestClass("receipted", Effect.RECEIPTED),
            requestClass("effectful", Effect.EFFECTFUL),
            requestClass("bound", Effect.PURE, "small-8"),
            requestClass("ordered", Effect.PURE));
    auditor = new Auditor(Fleet.builtIn(2), requestClasses, false, false, false, false, true);
    auditor.engineUp("e1", 0, 0);
    auditor.engineUp("big", 1, 0);
    auditor.engineUp("cold", 0, T - 10_000);
  }

  private static RequestClassSpec requestClass(String name, Effect effect, String... kinds) {
    return new RequestClassSpec(
        name, effect, 1, 10_000, 50_000, 1, 0, List.of(kinds), 20_000, 100, List.of());
  }

  private AuditorTest accept(String id, int requestClass, String key) {
    auditor.taken(T, 0, id, requestClass, key, T + 50_000);
    return this;
  }

  private AuditorTest executeAt(long at, String engine, String id, double work) {
    auditor.sent(at, 0, engine, id);
    auditor.ran(at, engine, id, work);
    return this;
  }

  private void assertFindings(String expected) {
    StringBuilder all = new StringBuilder();
    auditor
        .violations()
        .forEach(
            violation ->
                all.append(violation.rule()).append(": ").append(violation.what()).append('\n'));
    assertEquals(expected, all.toString());
  }

  @Test
  void nothingIsReportedWhereAllRulesHold() {
    accept("a", PURE, null).executeAt(T, "e1", "a", 100);
    auditor.over("a", false);
    auditor.sent(T + 5, 0, "big", "a");
    auditor.ran(T + 5, "big", "a", 100);
    auditor.over("a", false);
    auditor.answered(T + 49_999, "a", Auditor.Answer.FULFILLED);
    accept("b", EFFECTFUL, null);
    auditor.sent(T, 0, "e1", "b");
    auditor.over("b", true);
    auditor.sent(T + 9, 0, "big", "b");
    auditor.over("b", true);
    auditor.answered(T + 10, "b", Auditor.Answer.TURNED_BACK);
    assertFindings("");
    assertEquals(0, auditor.watching());
  }

  @Test
  void missingLateRepeatedAndWrongAnswersAreReported() {
    accept("a", PURE, null);
    auditor.answered(T + 10, "a", Auditor.Answer.BROKEN_OFF);
    auditor.answered(T + 11, "a", Auditor.Answer.BROKEN_OFF);
    accept("b", PURE, null);
    auditor.answered(T + 50_501, "b", Auditor.Answer.BROKEN_OFF);
    accept("c", PURE, null);
    auditor.left(T + 50_500, "c", true);
    accept("d", PURE, null);
    auditor.answered(T + 10, "d", Auditor.Answer.FULFILLED);
    accept("e", PURE, null);
    auditor.wrongResult(T, "e");
    auditor.answered(T + 10, "e", Auditor.Answer.BROKEN_OFF);
    auditor.sent(T + 11, 0, "e1", "e");
    accept("f", PURE, null);
    auditor.left(T + 10, "f", false);
    assertFindings(
        """
        ANSWER: a was answered BROKEN_OFF after its end
        ANSWER: b was answered 50 ms too late
        ANSWER: c was not answered in time
        ANSWER: d was fulfilled though no engine ran it
        ANSWER: e was given another result than its engine's
        ANSWER: a hop of e went to e1 though it was over
        """);
  }

  @Test
  void effectsThatMayHappenTwiceAreReported() {
    accept("a", EFFECTFUL, null).executeAt(T, "e1", "a", 100);
    auditor.over("a", false);
    executeAt(T + 5, "big", "a", 100);
    auditor.over("a", false);
    auditor.answered(T + 10, "a", Auditor.Answer.TURNED_BACK);
    accept("b", RECEIPTED, "k").executeAt(T, "e1", "b", 100);
    auditor.over("b", false);
    auditor.sent(T + 20_000, 0, "big", "b");
    assertFindings(
        """
        EFFECT: a went out again though it may have run
        EFFECT: a ran twice
        EFFECT: a was turned back though it may have run
        EFFECT: b went out again after engines forgot its mark
        """);
  }

  @Test
  void attemptsAtDrainingOrUnknownEnginesAreReported() {
    accept("a", PURE, null).accept("b", PURE, null);
    auditor.withdrawn(T, 0, "e1");
    auditor.sent(T + 8000, 0, "e1", "a");
    auditor.sent(T + 8001, 0, "e1", "b");
    accept("c", PURE, null);
    auditor.sent(T, 0, "nobody", "c");
    assertFindings(
        """
        DRAIN: b went from n0 to e1 800 ms after it was told to be draining or gone
        DRAIN: a hop of c went to nobody, which nobody knows
        """);
  }

  @Test
  void overloadOfAnEngineThatIsWarmingUpIsReported() {
    // A second after its start it can do (0.25 + 0.75 / 10) * 8 cores * 2 s * 3.5 = 18.2 s of work.
    accept("a", PURE, null).accept("b", PURE, null).executeAt(T, "cold", "a", 170_000);
    assertFindings("");
    executeAt(T + 10, "cold", "b", 20_000);
    assertFindings(
        "COLD: cold was sent 19000 ms of work within 2000 ms, 1001 ms after its start\n");
  }

  @Test
  void attemptsOutOfKeyOrderAreReported() {
    accept("a", ORDERED, "k").accept("b", ORDERED, "k").accept("c", ORDERED, "other");
    auditor.sent(T, 0, "e1", "a");
    auditor.sent(T, 0, "e1", "c");
    auditor.sent(T + 1, 0, "e1", "b");
    assertFindings("ORDER: b went out before a of the same key was over\n");
  }

  @Test
  void attemptsAtEnginesOfAnotherKindAreReported() {
    accept("a", BOUND, null);
    auditor.sent(T, 0, "e1", "a");
    auditor.over("a", true);
    auditor.sent(T, 0, "big", "a");
    assertFindings("PLACEMENT: a of bound went to big\n");
  }

  @Test
  void retriesBeyondTheBudgetAreReported() {
    for (int i = 0; i < 20; i++) {
      accept("a" + i, PURE, null);
      auditor.sent(T, 0, "e1", "a" + i);
      auditor.over("a" + i, true);
    }
    for (int i = 0; i < 8; i++) {
      auditor.sent(T + 119_999, 0, "e1", "a" + i);
    }
    // Four and three twentieths of twenty; a window later the twenty count no more.
    assertFindings("BUDGET: n0 made 8 further hops where 7.0 were allowed\n");
    auditor.sent(T + 120_000, 0, "e1", "a8");
    assertEquals(2, auditor.counts().get(Rule.BUDGET));
  }
}
