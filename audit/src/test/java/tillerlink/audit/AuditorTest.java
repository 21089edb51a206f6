package tillerlink.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.fleet.Fleet;
import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/**
 * Tests that the auditor reports an injected violation of each rule, and reports nothing if there
 * is no violation.
 */
class AuditorTest {
  private static final long NOW = 1_000_000;
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
    auditor.onEngineStarted("cold", 0, NOW - 10_000);
  }

  private static RequestClassSpec requestClass(String name, Effect effect, String... kinds) {
    return new RequestClassSpec(
        name, effect, 1, 10_000, 50_000, 1, 0, List.of(kinds), 20_000, 100, List.of());
  }

  private AuditorTest accept(String id, int requestClass, String key) {
    auditor.onRequestAccepted(NOW, 0, id, requestClass, key, NOW + 50_000);
    return this;
  }

  private AuditorTest executeAt(long at, String engine, String id, double work) {
    auditor.onAttemptSent(at, 0, engine, id);
    auditor.onAttemptExecuted(at, engine, id, work);
    return this;
  }

  private void assertFindings(String expected) {
    StringBuilder reported = new StringBuilder();
    auditor
        .violations()
        .forEach(
            violation ->
                reported
                    .append(violation.rule())
                    .append(": ")
                    .append(violation.what())
                    .append('\n'));
    assertEquals(expected, reported.toString());
  }

  @Test
  void validHistoryHasNoViolations() {
    accept("a", PURE, null).executeAt(NOW, "e1", "a", 100);
    auditor.onAttemptEnded("a", false);
    auditor.onAttemptSent(NOW + 5, 0, "big", "a");
    auditor.onAttemptExecuted(NOW + 5, "big", "a", 100);
    auditor.onAttemptEnded("a", false);
    auditor.onAnswer(NOW + 49_999, "a", Auditor.Answer.SUCCEEDED);
    accept("b", EFFECTFUL, null);
    auditor.onAttemptSent(NOW, 0, "e1", "b");
    auditor.onAttemptEnded("b", true);
    auditor.onAttemptSent(NOW + 9, 0, "big", "b");
    auditor.onAttemptEnded("b", true);
    auditor.onAnswer(NOW + 10, "b", Auditor.Answer.REJECTED);
    assertFindings("");
    assertEquals(0, auditor.openRequests());
  }

  @Test
  void missingLateRepeatedAndWrongAnswersAreReported() {
    accept("a", PURE, null);
    auditor.onAnswer(NOW + 10, "a", Auditor.Answer.FAILED);
    auditor.onAnswer(NOW + 11, "a", Auditor.Answer.FAILED);
    accept("b", PURE, null);
    auditor.onAnswer(NOW + 50_501, "b", Auditor.Answer.FAILED);
    accept("c", PURE, null);
    auditor.onClientDisconnected(NOW + 50_500, "c", true);
    accept("d", PURE, null);
    auditor.onAnswer(NOW + 10, "d", Auditor.Answer.SUCCEEDED);
    accept("e", PURE, null);
    auditor.onWrongResult(NOW, "e");
    auditor.onAnswer(NOW + 10, "e", Auditor.Answer.FAILED);
    auditor.onAttemptSent(NOW + 11, 0, "e1", "e");
    accept("f", PURE, null);
    auditor.onClientDisconnected(NOW + 10, "f", false);
    assertFindings(
        """
        ANSWER: a was answered FAILED after it had ended
        ANSWER: b was answered 50 ms after its client's deadline
        ANSWER: c was not answered by its client's deadline
        ANSWER: d succeeded though no engine executed it
        ANSWER: e was answered with a result that differs from the engine's
        ANSWER: an attempt of e was sent to e1 though the request had ended
        """);
  }

  @Test
  void effectsThatMayHappenTwiceAreReported() {
    accept("a", EFFECTFUL, null).executeAt(NOW, "e1", "a", 100);
    auditor.onAttemptEnded("a", false);
    executeAt(NOW + 5, "big", "a", 100);
    auditor.onAttemptEnded("a", false);
    auditor.onAnswer(NOW + 10, "a", Auditor.Answer.REJECTED);
    accept("b", RECEIPTED, "k").executeAt(NOW, "e1", "b", 100);
    auditor.onAttemptEnded("b", false);
    auditor.onAttemptSent(NOW + 20_000, 0, "big", "b");
    assertFindings(
        """
        EFFECT: a was sent again though it may have run
        EFFECT: a was executed more than once
        EFFECT: a was rejected though it may have run
        EFFECT: b was sent again after engines had dropped its idempotency key
        """);
  }

  @Test
  void attemptsAtDrainingOrUnknownEnginesAreReported() {
    accept("a", PURE, null).accept("b", PURE, null);
    auditor.onEndpointWithdrawn(NOW, 0, "e1");
    auditor.onAttemptSent(NOW + 8000, 0, "e1", "a");
    auditor.onAttemptSent(NOW + 8001, 0, "e1", "b");
    accept("c", PURE, null);
    auditor.onAttemptSent(NOW, 0, "e9", "c");
    assertFindings(
        """
        DRAIN: b was sent from n0 to e1 800 ms after the engine was reported as draining or gone
        DRAIN: an attempt of c was sent to e9, which is not a known engine
        """);
  }

  @Test
  void overloadOfAnEngineThatIsWarmingUpIsReported() {
    // One second after its start the engine can bear (0.25 + 0.75 / 10) * 8 cores * 2 s * 3.5 =
    // 18.2 s of work.
    accept("a", PURE, null).accept("b", PURE, null).executeAt(NOW, "cold", "a", 170_000);
    assertFindings("");
    executeAt(NOW + 10, "cold", "b", 20_000);
    assertFindings(
        "COLD: cold was sent 19000 ms of work within 2000 ms, 1001 ms after its start\n");
  }

  @Test
  void attemptsOutOfKeyOrderAreReported() {
    accept("a", ORDERED, "k").accept("b", ORDERED, "k").accept("c", ORDERED, "other");
    auditor.onAttemptSent(NOW, 0, "e1", "a");
    auditor.onAttemptSent(NOW, 0, "e1", "c");
    auditor.onAttemptSent(NOW + 1, 0, "e1", "b");
    assertFindings("ORDER: b was sent before a of the same key had ended\n");
  }

  @Test
  void attemptsAtEnginesOfAnotherKindAreReported() {
    accept("a", BOUND, null);
    auditor.onAttemptSent(NOW, 0, "e1", "a");
    auditor.onAttemptEnded("a", true);
    auditor.onAttemptSent(NOW, 0, "big", "a");
    assertFindings(
        "PLACEMENT: a of request class bound was sent to an engine of another kind, big\n");
  }

  @Test
  void retriesBeyondTheBudgetAreReported() {
    for (int i = 0; i < 20; i++) {
      accept("a" + i, PURE, null);
      auditor.onAttemptSent(NOW, 0, "e1", "a" + i);
      auditor.onAttemptEnded("a" + i, true);
    }
    for (int i = 0; i < 8; i++) {
      auditor.onAttemptSent(NOW + 119_999, 0, "e1", "a" + i);
    }
    // The budget allows 4 retries plus 3 twentieths of the 20 requests, which is 7. After the
    // window
    // the 20 requests no longer count.
    assertFindings(
        "BUDGET: n0 sent 8 retries, and the retry budget allowed 7.0 within its window\n");
    auditor.onAttemptSent(NOW + 120_000, 0, "e1", "a8");
    assertEquals(2, auditor.counts().get(Rule.BUDGET));
  }
}
