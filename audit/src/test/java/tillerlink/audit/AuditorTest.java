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
    auditor.onEngineStarted("e1", 0, 0);
    auditor.onEngineStarted("big", 1, 0);
    auditor.onEngineStarted("cold", 0, T - 10_000);
  }

  private static RequestClassSpec requestClass(String name, Effect effect, String... kinds) {
    return new RequestClassSpec(
        name, effect, 1, 10_000, 50_000, 1, 0, List.of(kinds), 20_000, 100, List.of());
  }

  private AuditorTest accept(String id, int requestClass, String key) {
    auditor.onRequestAccepted(T, 0, id, requestClass, key, T + 50_000);
    return this;
  }

  private AuditorTest executeAt(long at, String engine, String id, double work) {
    auditor.onAttemptSent(at, 0, engine, id);
    auditor.onAttemptExecuted(at, engine, id, work);
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
    auditor.onAttemptEnded("a", false);
    auditor.onAttemptSent(T + 5, 0, "big", "a");
    auditor.onAttemptExecuted(T + 5, "big", "a", 100);
    auditor.onAttemptEnded("a", false);
    auditor.onAnswer(T + 49_999, "a", Auditor.Answer.SUCCEEDED);
    accept("b", EFFECTFUL, null);
    auditor.onAttemptSent(T, 0, "e1", "b");
    auditor.onAttemptEnded("b", true);
    auditor.onAttemptSent(T + 9, 0, "big", "b");
    auditor.onAttemptEnded("b", true);
    auditor.onAnswer(T + 10, "b", Auditor.Answer.REJECTED);
    assertFindings("");
    assertEquals(0, auditor.openRequests());
  }

  @Test
  void missingLateRepeatedAndWrongAnswersAreReported() {
    accept("a", PURE, null);
    auditor.onAnswer(T + 10, "a", Auditor.Answer.FAILED);
    auditor.onAnswer(T + 11, "a", Auditor.Answer.FAILED);
    accept("b", PURE, null);
    auditor.onAnswer(T + 50_501, "b", Auditor.Answer.FAILED);
    accept("c", PURE, null);
    auditor.onClientDisconnected(T + 50_500, "c", true);
    accept("d", PURE, null);
    auditor.onAnswer(T + 10, "d", Auditor.Answer.SUCCEEDED);
    accept("e", PURE, null);
    auditor.onWrongResult(T, "e");
    auditor.onAnswer(T + 10, "e", Auditor.Answer.FAILED);
    auditor.onAttemptSent(T + 11, 0, "e1", "e");
    accept("f", PURE, null);
    auditor.onClientDisconnected(T + 10, "f", false);
    assertFindings(
        """
        ANSWER: a was answered FAILED after its end
        ANSWER: b was answered 50 ms too late
        ANSWER: c was not answered in time
        ANSWER: d succeeded though no engine ran it
        ANSWER: e was given another result than its engine's
        ANSWER: an attempt of e went to e1 though it was over
        """);
  }

  @Test
  void effectsThatMayHappenTwiceAreReported() {
    accept("a", EFFECTFUL, null).executeAt(T, "e1", "a", 100);
    auditor.onAttemptEnded("a", false);
    executeAt(T + 5, "big", "a", 100);
    auditor.onAttemptEnded("a", false);
    auditor.onAnswer(T + 10, "a", Auditor.Answer.REJECTED);
    accept("b", RECEIPTED, "k").executeAt(T, "e1", "b", 100);
    auditor.onAttemptEnded("b", false);
    auditor.onAttemptSent(T + 20_000, 0, "big", "b");
    assertFindings(
        """
        EFFECT: a went out again though it may have run
        EFFECT: a ran twice
        EFFECT: a was rejected though it may have run
        EFFECT: b went out again after engines forgot its idempotency key
        """);
  }

  @Test
  void attemptsAtDrainingOrUnknownEnginesAreReported() {
    accept("a", PURE, null).accept("b", PURE, null);
    auditor.onEndpointWithdrawn(T, 0, "e1");
    auditor.onAttemptSent(T + 8000, 0, "e1", "a");
    auditor.onAttemptSent(T + 8001, 0, "e1", "b");
    accept("c", PURE, null);
    auditor.onAttemptSent(T, 0, "nobody", "c");
    assertFindings(
        """
        DRAIN: b went from n0 to e1 800 ms after it was reported as draining or gone
        DRAIN: an attempt of c went to nobody, which nobody knows
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
    auditor.onAttemptSent(T, 0, "e1", "a");
    auditor.onAttemptSent(T, 0, "e1", "c");
    auditor.onAttemptSent(T + 1, 0, "e1", "b");
    assertFindings("ORDER: b went out before a of the same key was over\n");
  }

  @Test
  void attemptsAtEnginesOfAnotherKindAreReported() {
    accept("a", BOUND, null);
    auditor.onAttemptSent(T, 0, "e1", "a");
    auditor.onAttemptEnded("a", true);
    auditor.onAttemptSent(T, 0, "big", "a");
    assertFindings("PLACEMENT: a of bound went to big\n");
  }

  @Test
  void retriesBeyondTheBudgetAreReported() {
    for (int i = 0; i < 20; i++) {
      accept("a" + i, PURE, null);
      auditor.onAttemptSent(T, 0, "e1", "a" + i);
      auditor.onAttemptEnded("a" + i, true);
    }
    for (int i = 0; i < 8; i++) {
      auditor.onAttemptSent(T + 119_999, 0, "e1", "a" + i);
    }
    // Four and three twentieths of twenty; a window later the twenty count no more.
    assertFindings("BUDGET: n0 made 8 retries where 7.0 were allowed\n");
    auditor.onAttemptSent(T + 120_000, 0, "e1", "a8");
    assertEquals(2, auditor.counts().get(Rule.BUDGET));
  }
}
