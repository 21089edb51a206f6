package tillerlink.faultinjection.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tillerlink.faultinjection.soak.SoakOracle.Answer;
import tillerlink.faultinjection.soak.SoakOracle.Attempt;
import tillerlink.faultinjection.soak.SoakOracle.End;
import tillerlink.faultinjection.soak.SoakSettings.RequestClass;

/**
 * Tests that the oracle detects a violation of each rule and then reports that rule only. Times are
 * milliseconds.
 */
class SoakOracleTest {
  private static final long DEADLINE = SoakSettings.DEADLINE_MS;
  private static final String FIRST_ID = "00000000000000a1";
  private static final String SECOND_ID = "00000000000000a2";

  /** A time that exceeds the oracle's allowance for the lag of the harness on a busy machine. */
  private static final double BEYOND_ALLOWANCE_MS = 5_000;

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
  void validRequestHasNoViolations() {
    submit(FIRST_ID, RequestClass.BOOK);
    attempt(FIRST_ID, 0, 1010, 2990);
    oracle.attemptEnded(0, FIRST_ID, End.ANSWERED);
    oracle.answered(FIRST_ID, Answer.SERVED, 1100);
    assertViolations();
  }

  @Test
  void unansweredLateAndCutOffRequestsAreReportedAsLost() {
    submit(FIRST_ID, RequestClass.LOOK);
    assertViolations(SoakRule.LOST);
    submit(SECOND_ID, RequestClass.LOOK);
    oracle.answered(SECOND_ID, Answer.REFUSED, 1000 + DEADLINE + BEYOND_ALLOWANCE_MS);
    assertEquals(2, oracle.counts().get(SoakRule.LOST));
    submit("00000000000000a3", RequestClass.LOOK);
    oracle.connectionLost("00000000000000a3", "its connection ended without an answer");
    assertEquals(3, oracle.counts().get(SoakRule.LOST));
  }

  @Test
  void contradictingAnswersAreReportedAsUntrue() {
    submit(FIRST_ID, RequestClass.LOOK);
    oracle.answered(FIRST_ID, Answer.REFUSED, 1100);
    oracle.answered(FIRST_ID, Answer.FAILED, 1200);
    assertEquals(1, oracle.counts().get(SoakRule.ANSWER_UNTRUE));
    submit(SECOND_ID, RequestClass.LOOK);
    oracle.answered(SECOND_ID, Answer.SERVED, 1100);
    assertEquals(2, oracle.counts().get(SoakRule.ANSWER_UNTRUE));
    submit("00000000000000a3", RequestClass.BOOK);
    attempt("00000000000000a3", 0, 1010, 100);
    oracle.answered("00000000000000a3", Answer.REFUSED, 1100);
    assertEquals(3, oracle.counts().get(SoakRule.ANSWER_UNTRUE));
  }

  @Test
  void secondRunOfARequestWithEffectsIsReported() {
    submit(FIRST_ID, RequestClass.BOOK);
    attempt(FIRST_ID, 0, 1010, 100);
    oracle.attemptEnded(0, FIRST_ID, End.REFUSED);
    attempt(FIRST_ID, 2, 1020, 100);
    answered(FIRST_ID);
    assertViolations();
    submit(SECOND_ID, RequestClass.BOOK);
    attempt(SECOND_ID, 0, 1010, 100);
    attempt(SECOND_ID, 2, 1020, 100);
    answered(SECOND_ID);
    assertViolations(SoakRule.DUPLICATE);
  }

  @Test
  void runOfAKeyedRequestAfterItsWindowIsReported() {
    submit(FIRST_ID, RequestClass.LOAD);
    attempt(FIRST_ID, 0, 1010, 100);
    attempt(FIRST_ID, 2, 1020, 100);
    answered(FIRST_ID);
    assertViolations();
    attempt(FIRST_ID, 0, 1010 + SoakSettings.WINDOW_MS + BEYOND_ALLOWANCE_MS, 0);
    assertEquals(true, oracle.counts().containsKey(SoakRule.DUPLICATE));
  }

  @Test
  void attemptAtADrainingEngineIsReported() {
    notReadyAt = 1000;
    submit(FIRST_ID, RequestClass.LOOK);
    attempt(FIRST_ID, 0, 1000 + SoakSettings.GRACE_MS, 100);
    answered(FIRST_ID);
    assertViolations();
    submit(SECOND_ID, RequestClass.LOOK);
    oracle.attempt(
        new Attempt(
            SECOND_ID, 0, 0, "look", 0, 1000 + SoakSettings.GRACE_MS + BEYOND_ALLOWANCE_MS));
    answered(SECOND_ID);
    assertViolations(SoakRule.DRAIN);
  }

  /**
   * Tests that the oracle detects 420 requests to a cold engine. It allows 400: 2.5 times 0.3 of 8
   * cores for 3 s are 360 requests of 50 ms, to which it adds twice their square root and 2.
   */
  @Test
  void overloadOfAColdEngineIsReported() {
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
  void overloadBeforeAGatewayCanKnowTheStartIsExcused() {
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
  void concurrentAttemptsOfOneSubjectAreReported() {
    submit(FIRST_ID, RequestClass.FILE);
    submit(SECOND_ID, RequestClass.FILE);
    attempt(FIRST_ID, 0, 1010, 100);
    attempt(SECOND_ID, 2, 1020, 100);
    answered(FIRST_ID);
    answered(SECOND_ID);
    assertViolations(SoakRule.ORDER);
  }

  @Test
  void attemptOutsideTheZoneOfARequestClassIsReported() {
    submit(FIRST_ID, RequestClass.LOCAL);
    attempt(FIRST_ID, 1, 1010, 100);
    answered(FIRST_ID);
    assertViolations(SoakRule.PLACEMENT);
  }

  @Test
  void retriesBeyondTheBudgetAreReported() {
    submit(FIRST_ID, RequestClass.LOOK);
    for (int i = 0; i < 5; i++) {
      attempt(FIRST_ID, 0, 1010 + i, 100);
    }
    assertViolations(SoakRule.LOST);
    attempt(FIRST_ID, 0, 1020, 100);
    answered(FIRST_ID);
    assertEquals(true, oracle.counts().containsKey(SoakRule.RETRY_BUDGET));
  }

  @Test
  void attemptAfterTheClientDisconnectedIsReported() {
    submit(FIRST_ID, RequestClass.LOOK);
    oracle.clientDisconnected(FIRST_ID, 1050);
    attempt(FIRST_ID, 0, 1050 + BEYOND_ALLOWANCE_MS, 0);
    assertViolations(SoakRule.CANCELLED);
  }

  @Test
  void limitBeyondTheDeadlineIsReported() {
    submit(FIRST_ID, RequestClass.LOOK);
    attempt(FIRST_ID, 0, 2000, DEADLINE + (long) BEYOND_ALLOWANCE_MS);
    answered(FIRST_ID);
    assertViolations(SoakRule.LIMIT);
  }

  @Test
  void violationInsideAProcessIsReported() {
    oracle.inside("n1 counts: tillerlink_invariant_violations_total{reason=\"drain\"} 1");
    assertViolations(SoakRule.INSIDE);
  }

  /**
   * Tests that a gateway that was killed or stopped is excused for late answers, but not for
   * sending attempts to a draining engine.
   */
  @Test
  void interruptedGatewayIsExcusedForLateAnswersOnly() {
    submit(FIRST_ID, RequestClass.LOOK);
    oracle.interrupted(0, 1500);
    oracle.answered(FIRST_ID, Answer.REFUSED, 1000 + DEADLINE + BEYOND_ALLOWANCE_MS);
    assertViolations();
    notReadyAt = 1000;
    submit(SECOND_ID, RequestClass.LOOK);
    oracle.attempt(
        new Attempt(
            SECOND_ID, 0, 0, "look", 0, 1000 + SoakSettings.GRACE_MS + BEYOND_ALLOWANCE_MS));
    answered(SECOND_ID);
    assertViolations(SoakRule.DRAIN);
  }

  private void submit(String id, RequestClass requestClass) {
    oracle.submitted(id, 0, requestClass, "s1", 1000, DEADLINE);
  }

  private void attempt(String id, int engine, double at, long limit) {
    oracle.attempt(new Attempt(id, 0, engine, "look", limit, at));
  }

  /** Ends all attempts of a request with an answer and serves its client in time. */
  private void answered(String id) {
    oracle.attemptEnded(0, id, End.ANSWERED);
    oracle.attemptEnded(2, id, End.ANSWERED);
    oracle.attemptEnded(1, id, End.ANSWERED);
    oracle.answered(id, Answer.SERVED, 1200);
  }

  /** Asserts that exactly these rules have been violated. */
  private void assertViolations(SoakRule... rules) {
    oracle.end();
    assertEquals(Set.of(rules), oracle.counts().keySet());
  }
}
