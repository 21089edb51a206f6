package tillerlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.DecayingMean;
import tillerlink.model.DeduplicationGroup;
import tillerlink.model.Effect;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;
import tillerlink.model.RequestClassConfig;
import tillerlink.model.RequestOutcome;
import tillerlink.model.Settings;

/**
 * Violates each invariant on purpose and checks that only this one is reported. Times are tenths of
 * a millisecond.
 */
class InvariantMonitorTest {
  private static final long NOW = 17_000_000_000_000L;
  private static final long DEADLINE = 50_000;
  private static final long LIMIT_SLACK = 1_500;
  private static final long SECOND = 10_000;

  private final Map<String, Object> settings = new HashMap<>();
  private final Engine engine = new Engine("e1");
  private final Engine otherEngine = new Engine("e2");
  private InvariantMonitor monitor;

  @BeforeEach
  void createMonitor() {
    settings.put("guarantees.drain_grace", 5_000L);
    settings.put("guarantees.budget_span", 100_000L);
    settings.put("guarantees.extra_floor", 2.0);
    settings.put("guarantees.further_ratio", 0.1);
    settings.put("guarantees.fall", 20_000L);
    settings.put("guarantees.fall_multiple", 2.0);
    settings.put("guarantees.start_capacity", 0.25);
    settings.put("guarantees.warm_within", 100_000L);
    settings.put("family_info.kind_cores", List.of(4L));
    monitor = new InvariantMonitor(new Settings(settings));
    endpointsChanged(NOW, Status.READY);
  }

  @Test
  void correctAttemptViolatesNoInvariant() {
    assertEquals(Set.of(), writeAttempt(attempt(request(Effect.EFFECTFUL, null), engine), NOW));
  }

  @Test
  void attemptsAndAnswersAfterTheClientStoppedWaitingAreReported() {
    Request disconnected = request(Effect.PURE, null);
    disconnected.outcome = RequestOutcome.CLIENT_DISCONNECTED;
    disconnected.disconnectedAt = NOW;
    assertEquals(Set.of(), writeAttempt(attempt(disconnected, engine), NOW + 1_000));
    assertEquals(
        Set.of(Invariant.CLIENT_WAITS), writeAttempt(attempt(disconnected, engine), NOW + 1_001));
    Attempt late = attempt(request(Effect.PURE, null), engine);
    long at = NOW + DEADLINE + 501;
    assertEquals(
        Set.of(Invariant.CLIENT_WAITS),
        monitor.checkWritten(new InvariantMonitor.Written(late, at, at, 0)));
    Request answered = request(Effect.PURE, null);
    assertEquals(Set.of(), monitor.checkAnswer(NOW + DEADLINE + 5_000, answered));
    assertEquals(
        Set.of(Invariant.ANSWER_IN_TIME), monitor.checkAnswer(NOW + DEADLINE + 5_001, answered));
  }

  @Test
  void timeLimitBeyondTheClientsRemainingTimeIsReported() {
    Attempt attempt = attempt(request(Effect.PURE, null), engine);
    long at = NOW + 10_000;
    long timeLeft = DEADLINE - 10_000;
    assertEquals(
        Set.of(),
        monitor.checkWritten(
            new InvariantMonitor.Written(attempt, at, at, timeLeft + LIMIT_SLACK)));
    assertEquals(
        Set.of(Invariant.LIMIT),
        monitor.checkWritten(
            new InvariantMonitor.Written(attempt, at, at, timeLeft + LIMIT_SLACK + 1)));
  }

  @Test
  void possibleSecondRunOfAnEffectfulRequestIsReported() {
    Request effectful = request(Effect.EFFECTFUL, null);
    Attempt first = attempt(effectful, engine);
    writeAttempt(first, NOW);
    first.outcome = AttemptOutcome.CONNECTION_LOST;
    assertEquals(
        Set.of(Invariant.SINGLE_EFFECT), writeAttempt(attempt(effectful, otherEngine), NOW));
    Request retryable = request(Effect.EFFECTFUL, null);
    Attempt rejected = attempt(retryable, engine);
    writeAttempt(rejected, NOW);
    rejected.outcome = AttemptOutcome.REJECTED;
    assertEquals(Set.of(), writeAttempt(attempt(retryable, otherEngine), NOW));
    Request neverWritten = request(Effect.EFFECTFUL, null);
    attempt(neverWritten, engine).outcome = AttemptOutcome.CONNECTION_LOST;
    assertEquals(Set.of(), writeAttempt(attempt(neverWritten, otherEngine), NOW));
  }

  @Test
  void attemptsToDrainingAndGoneEnginesAreReported() {
    endpointsChanged(NOW, Status.DRAINING);
    assertEquals(Set.of(), writeAttempt(attempt(request(Effect.PURE, null), engine), NOW + 5_500));
    assertEquals(
        Set.of(Invariant.DRAIN),
        writeAttempt(attempt(request(Effect.PURE, null), engine), NOW + 5_501));
    endpointsChanged(NOW, Status.READY);
    monitor.onEndpointsChanged(NOW + SECOND, true, List.of());
    assertEquals(
        Set.of(Invariant.DRAIN),
        writeAttempt(attempt(request(Effect.PURE, null), engine), NOW + SECOND + 5_501));
  }

  @Test
  void lateWriteIsReported() {
    Attempt attempt = attempt(request(Effect.PURE, null), engine);
    assertEquals(
        Set.of(), monitor.checkWritten(new InvariantMonitor.Written(attempt, NOW + 500, NOW, 0)));
    assertEquals(
        Set.of(Invariant.WRITE_IN_TIME),
        monitor.checkWritten(new InvariantMonitor.Written(attempt, NOW + 501, NOW, 0)));
  }

  @Test
  void requestsOutOfOrderAreReported() {
    KeyedRequestQueue keyQueue = new KeyedRequestQueue();
    Request earlier = request(Effect.PURE, null, keyQueue);
    Request later = request(Effect.PURE, null, keyQueue);
    keyQueue.requests.add(earlier);
    keyQueue.requests.add(later);
    assertEquals(Set.of(Invariant.ORDER), writeAttempt(attempt(later, engine), NOW));
    assertEquals(Set.of(), writeAttempt(attempt(earlier, engine), NOW));
  }

  @Test
  void forbiddenPlacementIsReported() {
    otherEngine.zone = 1;
    assertEquals(
        Set.of(Invariant.PLACEMENT),
        writeAttempt(attempt(request(Effect.PURE, List.of(0)), otherEngine), NOW));
  }

  @Test
  void retriesBeyondTheBudgetAreReported() {
    Request request = request(Effect.PURE, null);
    writeAttempt(attempt(request, engine), NOW);
    Set<Invariant> violations = Set.of();
    for (int i = 0; i < 3; i++) {
      violations = writeAttempt(attempt(request, engine), NOW);
      assertEquals(Set.of(), violations);
    }
    assertEquals(Set.of(Invariant.RETRY_BUDGET), writeAttempt(attempt(request, engine), NOW));
  }

  /**
   * The limit is 2 (the slow-start multiple) times a quarter of 4 cores times 2 s, which is 4 s of
   * work or 40 requests of 0.1 s. With the tolerance of 2 sqrt(40) + 2, up to 54 requests are
   * accepted.
   */
  @Test
  void overloadOfAWarmingEngineIsReported() {
    engine.startedAt = NOW;
    for (int i = 0; i < 54; i++) {
      assertEquals(
          Set.of(), writeAttempt(attempt(request(Effect.PURE, null), engine), NOW), "request " + i);
    }
    assertEquals(
        Set.of(Invariant.SLOW_START),
        writeAttempt(attempt(request(Effect.PURE, null), engine), NOW));
  }

  private void endpointsChanged(long now, Status status) {
    monitor.onEndpointsChanged(
        now,
        true,
        List.of(
            new EndpointUpdate(engine, 0, 0, 0, 1, status, 0, 1),
            new EndpointUpdate(otherEngine, 0, 1, 0, 1, Status.READY, 0, 1)));
  }

  private Set<Invariant> writeAttempt(Attempt attempt, long at) {
    return monitor.checkWritten(new InvariantMonitor.Written(attempt, at, at, 0));
  }

  private static Request request(Effect effect, List<Integer> zones) {
    return request(effect, zones, null);
  }

  private static Request request(Effect effect, List<Integer> zones, KeyedRequestQueue keyQueue) {
    Request request = new Request("a", 0, 0, false, NOW, NOW + DEADLINE, 1, 0, keyQueue);
    request.requestClass =
        new RequestClass(
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
                keyQueue != null,
                zones,
                null),
            new DecayingMean(1, 1, 1),
            new DecayingMean(1, 1, 1),
            new DecayingMean(1, 1, 1),
            new DecayingMean(1, 1, 1));
    return request;
  }

  private static Attempt attempt(Request request, Engine engine) {
    Attempt attempt = new Attempt(request, engine, NOW, 1_000, 1_000, false);
    request.attempts.add(attempt);
    return attempt;
  }
}
