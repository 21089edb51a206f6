package tillerlink.faultinjection.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tillerlink.faultinjection.soak.SoakOracle.Answer;
import tillerlink.faultinjection.soak.SoakOracle.Attempt;
import tillerlink.faultinjection.soak.SoakOracle.End;
import tillerlink.faultinjection.soak.SoakSettings.RequestClass;

/** A violation of each rule is detected, and no other rule is. Times are milliseconds. */
class SoakOracleTest {
  private static final long DEADLINE = SoakSettings.DEADLINE_MS;
  private static final String ONE = "00000000000000a1";
  private static final String TWO = "00000000000000a2";

  /** More than the allowance for the lag of the harness on a busy machine. */
  private static final double FAR = 5_000;

  private final SoakClock clock = new SoakClock();
  private double notReadyAt = Double.MAX_VALUE;
  private double startedAt;
  private double startKnownAt;
  private final SoakOracle oracle =
      new SoakOracle(
          clock,
          new SoakOracle.DiscoveryHistory() {
            @Override
            public double notReadyAt(int gateway, int engine, double at) {
              return notReadyAt;
            }

            @Override
            public double startedAt(int engine, double at) {
              return startedAt;
            }

            @Override
            public double startKnownAt(int gateway, int engine, double at) {
              return startKnownAt;
            }

            @Override
            public boolean inFirstZone(int engine) {
              return engine % 2 == 0;
            }
          });

  @AfterEach
  void end() {
    clock.end();
  }

  @Test
  void requestThatKeepsAllRulesPasses() {
    submit(ONE, RequestClass.BOOK);
    attempt(ONE, 0, 1010, 2990);
    oracle.attemptEnded(0, ONE, End.ANSWERED);
    oracle.answered(ONE, Answer.SERVED, 1100);
    assertViolations();
  }

  @Test
  void unansweredLateAndDisconnectedRequestsAreLost() {
    submit(ONE, RequestClass.LOOK);
    assertViolations(SoakRule.LOST);
    submit(TWO, RequestClass.LOOK);
    oracle.answered(TWO, Answer.REFUSED, 1000 + DEADLINE + FAR);
    assertEquals(2, oracle.counts().get(SoakRule.LOST));
    submit("00000000000000a3", RequestClass.LOOK);
    oracle.connectionLost("00000000000000a3", "its connection ended without an answer");
    assertEquals(3, oracle.counts().get(SoakRule.LOST));
  }

  @Test
  void contradictingAnswersAreUntrue() {
    submit(ONE, RequestClass.LOOK);
    oracle.answered(ONE, Answer.REFUSED, 1100);
    oracle.answered(ONE, Answer.FAILED, 1200);
    assertEquals(1, oracle.counts().get(SoakRule.ANSWER_UNTRUE));
    submit(TWO, RequestClass.LOOK);
    oracle.answered(TWO, Answer.SERVED, 1100);
    assertEquals(2, oracle.counts().get(SoakRule.ANSWER_UNTRUE));
    submit("00000000000000a3", RequestClass.BOOK);
    attempt("00000000000000a3", 0, 1010, 100);
    oracle.answered("00000000000000a3", Answer.REFUSED, 1100);
    assertEquals(3, oracle.counts().get(SoakRule.ANSWER_UNTRUE));
  }

  @Test
  void requestWithEffectsMustNotRunTwice() {
    submit(ONE, RequestClass.BOOK);
    attempt(ONE, 0, 1010, 100);
    oracle.attemptEnded(0, ONE, End.REFUSED);
    attempt(ONE, 2, 1020, 100);
    answered(ONE);
    assertViolations();
    submit(TWO, RequestClass.BOOK);
    attempt(TWO, 0, 1010, 100);
    attempt(TWO, 2, 1020, 100);
    answered(TWO);
    assertViolations(SoakRule.DUPLICATE);
  }

  @Test
  void keyedRequestMustNotRunAfterItsWindow() {
    submit(ONE, RequestClass.LOAD);
    attempt(ONE, 0, 1010, 100);
    attempt(ONE, 2, 1020, 100);
    answered(ONE);
    assertViolations();
    attempt(ONE, 0, 1010 + SoakSettings.WINDOW_MS + FAR, 0);
    assertEquals(true, oracle.counts().containsKey(SoakRule.DUPLICATE));
  }

  @Test
  void drainingEngineGetsNoRequests() {
    notReadyAt = 1000;
    submit(ONE, RequestClass.LOOK);
    attempt(ONE, 0, 1000 + SoakSettings.GRACE_MS, 100);
    answered(ONE);
    assertViolations();
    submit(TWO, RequestClass.LOOK);
    oracle.attempt(new Attempt(TWO, 0, 0, "look", 0, 1000 + SoakSettings.GRACE_MS + FAR));
    answered(TWO);
    assertViolations(SoakRule.DRAIN);
  }

  /**
   * 2.5 times 0.3 of 8 cores for 3 s are 360 requests of 50 ms; with twice the root and 2 they are
   * 400.
   */
  @Test
  void coldEngineIsNotOverloaded() {
    startedAt = 1000;
    startKnownAt = 1000;
    for (int i = 0; i < 420; i++) {
      String id = String.format("%016x", i);
      submit(id, RequestClass.LOOK);
      attempt(id, 0, 1010, 100);
      answered(id);
    }
    assertViolations(SoakRule.SLOW_START);
  }

  @Test
  void unknownColdEngineIsExcused() {
    startedAt = 1000;
    startKnownAt = 9000;
    for (int i = 0; i < 420; i++) {
      String id = String.format("%016x", i);
      submit(id, RequestClass.LOOK);
      attempt(id, 0, 1010, 100);
      answered(id);
    }
    assertViolations();
  }

  @Test
  void requestsOfASubjectRunOneAfterTheOther() {
    submit(ONE, RequestClass.FILE);
    submit(TWO, RequestClass.FILE);
    attempt(ONE, 0, 1010, 100);
    attempt(TWO, 2, 1020, 100);
    answered(ONE);
    answered(TWO);
    assertViolations(SoakRule.ORDER);
  }

  @Test
  void requestClassRunsInItsZoneOnly() {
    submit(ONE, RequestClass.LOCAL);
    attempt(ONE, 1, 1010, 100);
    answered(ONE);
    assertViolations(SoakRule.PLACEMENT);
  }

  @Test
  void retriesStayWithinTheBudget() {
    submit(ONE, RequestClass.LOOK);
    for (int i = 0; i < 5; i++) {
      attempt(ONE, 0, 1010 + i, 100);
    }
    assertViolations(SoakRule.LOST);
    attempt(ONE, 0, 1020, 100);
    answered(ONE);
    assertEquals(true, oracle.counts().containsKey(SoakRule.RETRY_BUDGET));
  }

  @Test
  void noAttemptAfterTheClientDisconnected() {
    submit(ONE, RequestClass.LOOK);
    oracle.clientDisconnected(ONE, 1050);
    attempt(ONE, 0, 1050 + FAR, 0);
    assertViolations(SoakRule.CANCELLED);
  }

  @Test
  void limitDoesNotExceedTheDeadline() {
    submit(ONE, RequestClass.LOOK);
    attempt(ONE, 0, 2000, DEADLINE + (long) FAR);
    answered(ONE);
    assertViolations(SoakRule.LIMIT);
  }

  @Test
  void violationInsideAProcessIsReported() {
    oracle.inside("n1 counts: tillerlink_invariant_violations_total{reason=\"drain\"} 1");
    assertViolations(SoakRule.INSIDE);
  }

  /**
   * What a gateway owes that was killed or stood still meanwhile is not held against it; where it
   * sends is.
   */
  @Test
  void stoppedGatewayIsExcused() {
    submit(ONE, RequestClass.LOOK);
    oracle.interrupted(0, 1500);
    oracle.answered(ONE, Answer.REFUSED, 1000 + DEADLINE + FAR);
    assertViolations();
    notReadyAt = 1000;
    submit(TWO, RequestClass.LOOK);
    oracle.attempt(new Attempt(TWO, 0, 0, "look", 0, 1000 + SoakSettings.GRACE_MS + FAR));
    answered(TWO);
    assertViolations(SoakRule.DRAIN);
  }

  private void submit(String id, RequestClass requestClass) {
    oracle.submitted(id, 0, requestClass, "s1", 1000, DEADLINE);
  }

  private void attempt(String id, int engine, double at, long limit) {
    oracle.attempt(new Attempt(id, 0, engine, "look", limit, at));
  }

  private void answered(String id) {
    oracle.attemptEnded(0, id, End.ANSWERED);
    oracle.attemptEnded(2, id, End.ANSWERED);
    oracle.attemptEnded(1, id, End.ANSWERED);
    oracle.answered(id, Answer.SERVED, 1200);
  }

  private void assertViolations(SoakRule... rules) {
    oracle.end();
    assertEquals(Set.of(rules), oracle.counts().keySet());
  }
}
