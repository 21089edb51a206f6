package tillerlink.audit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import tillerlink.fleet.Fleet;
import tillerlink.workload.RequestClassSpec;

/**
 * Checks the messages between clients, gateways and engines against the rules and reports
 * violations. It does not depend on how gateways decide. A request is dropped when it has ended, so
 * that memory use is bounded by the requests in progress. Not thread-safe. Times are tenths of a
 * millisecond.
 */
public class Auditor {
  /** How late a final answer may arrive, because transmission through sockets takes time. */
  private static final long MAX_ANSWER_DELAY = 500;

  private static final int TENTHS_PER_MS = 10;

  /** The final answer to a request, as its client received it. The constants' names are printed. */
  public enum Answer {
    SUCCEEDED,
    REJECTED,
    FAILED
  }

  private final Fleet fleet;
  private final List<RequestClassSpec> requestClasses;
  private final boolean[] ordered;
  private final Findings findings = new Findings();
  private final Map<String, AuditedRequest> requests = new HashMap<>();
  private final Map<String, AuditedEngine> engines = new LinkedHashMap<>();
  private final List<RetryBudgetWindow> retryBudgets = new ArrayList<>();
  private final KeyOrder keyOrder = new KeyOrder();

  /** Engines whose overload while they were warming up was already reported, once each. */
  private final Set<String> reportedOverloads = new HashSet<>();

  private long attempts;
  private long retries;

  /**
   * Creates an auditor that knows no engines and no requests.
   *
   * @param ordered for each request class, whether requests of one key must run in the order of
   *     their acceptance; false for classes beyond the given ones
   */
  public Auditor(Fleet fleet, List<RequestClassSpec> requestClasses, boolean... ordered) {
    this.fleet = fleet;
    this.requestClasses = requestClasses;
    this.ordered = Arrays.copyOf(ordered, requestClasses.size());
    for (int i = 0; i < fleet.gateways(); i++) {
      retryBudgets.add(new RetryBudgetWindow(fleet));
    }
  }

  // ---- clients ----

  /**
   * Records that a gateway has accepted a request.
   *
   * @param requestClass an index into the request classes
   * @param key the idempotency key, which is also the key of the order, or null
   * @param clientDeadline when the client stops waiting
   */
  public void onRequestAccepted(
      long now, int gateway, String id, int requestClass, String key, long clientDeadline) {
    requests.put(
        id, new AuditedRequest(gateway, requestClasses.get(requestClass), clientDeadline, key));
    if (ordered[requestClass] && key != null) {
      keyOrder.add(key, id);
    }
    retryBudgets.get(gateway).addRequest(now);
  }

  /** Records that a client has received the answer to a request. */
  public void onAnswer(long now, String id, Answer answer) {
    AuditedRequest request = requests.get(id);
    if (request == null || request.isAnswered()) {
      findings.report(
          Rule.ANSWER,
          now,
          id
              + " was answered "
              + answer
              + (request == null ? " after it had ended" : " a second time"));
      return;
    }
    request.onAnswer(answer);
    if (now > request.clientDeadline() + MAX_ANSWER_DELAY) {
      long lateMs = (now - request.clientDeadline()) / TENTHS_PER_MS;
      findings.report(
          Rule.ANSWER, now, id + " was answered " + lateMs + " ms after its client's deadline");
    }
    if (answer == Answer.REJECTED && request.isEffectful() && request.mayHaveRun()) {
      findings.report(Rule.EFFECT, now, id + " was rejected though it may have run");
    }
    if (answer == Answer.SUCCEEDED && request.executions() == 0) {
      findings.report(Rule.ANSWER, now, id + " succeeded though no engine executed it");
    }
    removeIfEnded(id, request);
  }

  /** Records that a client has received a result that differs from the engine's result. */
  public void onWrongResult(long now, String id) {
    findings.report(
        Rule.ANSWER, now, id + " was answered with a result that differs from the engine's");
  }

  /**
   * Records that a client disconnected without an answer.
   *
   * @param deadlinePassed whether the client's deadline had passed, so that the missing answer is a
   *     violation
   */
  public void onClientDisconnected(long now, String id, boolean deadlinePassed) {
    AuditedRequest request = requests.get(id);
    if (request == null) {
      return;
    }
    if (deadlinePassed && !request.isAnswered()) {
      findings.report(Rule.ANSWER, now, id + " was not answered by its client's deadline");
    }
    request.onClientDisconnected();
    removeIfEnded(id, request);
  }

  /** Records that a gateway was killed. Its requests are no longer audited. */
  public void onGatewayKilled(int gateway) {
    retryBudgets.get(gateway).clear();
    engines.values().forEach(engine -> engine.removeGateway(gateway));
    requests.values().removeIf(request -> request.gateway() == gateway);
    keyOrder.removeIf(id -> !requests.containsKey(id));
  }

  private void removeIfEnded(String id, AuditedRequest request) {
    if (request.hasEnded()) {
      requests.remove(id);
      keyOrder.remove(request.key(), id);
    }
  }

  // ---- engines ----

  /**
   * Records that an engine is up.
   *
   * @param kind an index into the fleet's engine kinds
   * @param startedAt the start of the engine; 0 or less means that it started long ago and has
   *     warmed up
   */
  public void onEngineStarted(String engine, int kind, long startedAt) {
    engines.put(engine, new AuditedEngine(fleet, kind, startedAt));
  }

  /** Records that a gateway was notified that an engine is draining or gone. */
  public void onEndpointWithdrawn(long now, int gateway, String engine) {
    AuditedEngine engineState = engines.get(engine);
    if (engineState != null) {
      engineState.onWithdrawn(gateway, now);
    }
  }

  /** Records that an engine has ended, will not return, and all gateways were notified of it. */
  public void onEngineForgotten(String engine) {
    engines.remove(engine);
  }

  // ---- attempts ----

  /** Records that the first byte of an attempt was sent, and checks the attempt. */
  public void onAttemptSent(long now, int gateway, String engine, String id) {
    AuditedEngine target = engines.get(engine);
    AuditedRequest request = requests.get(id);
    if (request == null) {
      findings.report(
          Rule.ANSWER,
          now,
          "an attempt of " + id + " was sent to " + engine + " though the request had ended");
      return;
    }
    if (target == null) {
      findings.report(
          Rule.DRAIN,
          now,
          "an attempt of " + id + " was sent to " + engine + ", which is not a known engine");
      return;
    }
    if (request.isClosedForClient()) {
      findings.report(
          Rule.ANSWER,
          now,
          "an attempt of " + id + " was sent after its client was answered or had disconnected");
    }
    checkDrain(now, gateway, engine, target, id);
    checkPlacement(now, engine, target, id, request);
    checkEffect(now, id, request);
    if (!keyOrder.isFirst(request.key(), id)) {
      findings.report(
          Rule.ORDER,
          now,
          id + " was sent before " + keyOrder.first(request.key()) + " of the same key had ended");
    }
    attempts++;
    if (request.wasSent()) {
      retries++;
      checkRetryBudget(now, gateway);
    }
    request.onAttemptSent(now);
  }

  private void checkDrain(long now, int gateway, String engine, AuditedEngine target, String id) {
    OptionalLong notifiedAt = target.withdrawnAt(gateway);
    if (notifiedAt.isPresent() && now > notifiedAt.getAsLong() + fleet.drainGrace()) {
      findings.report(
          Rule.DRAIN,
          now,
          id
              + " was sent from n"
              + gateway
              + " to "
              + engine
              + " "
              + (now - notifiedAt.getAsLong()) / TENTHS_PER_MS
              + " ms after the engine was reported as draining or gone");
    }
  }

  private void checkPlacement(
      long now, String engine, AuditedEngine target, String id, AuditedRequest request) {
    List<String> allowed = request.requestClass().kinds();
    if (!allowed.isEmpty() && !allowed.contains(fleet.kinds().get(target.kind()).name())) {
      findings.report(
          Rule.PLACEMENT,
          now,
          id
              + " of request class "
              + request.requestClass().name()
              + " was sent to an engine of another kind, "
              + engine);
    }
  }

  private void checkEffect(long now, String id, AuditedRequest request) {
    if (request.isEffectful() && request.mayRunOrHaveRun()) {
      findings.report(Rule.EFFECT, now, id + " was sent again though it may have run");
    }
    if (request.isDeduplicationWindowOver(now)) {
      findings.report(
          Rule.EFFECT, now, id + " was sent again after engines had dropped its idempotency key");
    }
  }

  private void checkRetryBudget(long now, int gateway) {
    RetryBudgetWindow budget = retryBudgets.get(gateway);
    budget.addRetry(now);
    if (budget.retries() > budget.allowedRetries()) {
      findings.report(
          Rule.BUDGET,
          now,
          "n"
              + gateway
              + " sent "
              + budget.retries()
              + " retries, and the retry budget allowed "
              + Math.floor(budget.allowedRetries())
              + " within its window");
    }
  }

  /**
   * Records that an engine has received an attempt completely and will execute it.
   *
   * @param work the execution time of the attempt on one core
   */
  public void onAttemptExecuted(long now, String engine, String id, double work) {
    AuditedRequest request = requests.get(id);
    if (request != null) {
      request.onExecuted();
      if (request.isEffectful() && request.executions() > 1) {
        findings.report(Rule.EFFECT, now, id + " was executed more than once");
      }
    }
    AuditedEngine target = engines.get(engine);
    if (target != null && fleet.overloadWindow() > 0) {
      checkSlowStart(now, engine, target.slowStart(), work);
    }
  }

  private void checkSlowStart(long now, String engine, SlowStartWindow slowStart, double work) {
    if (slowStart.add(now, work) && reportedOverloads.add(engine)) {
      findings.report(
          Rule.COLD,
          now,
          engine
              + " was sent "
              + Math.round(slowStart.workInWindow() / TENTHS_PER_MS)
              + " ms of work within "
              + fleet.overloadWindow() / TENTHS_PER_MS
              + " ms, "
              + slowStart.age(now) / TENTHS_PER_MS
              + " ms after its start");
    }
  }

  /**
   * Records that an attempt has ended.
   *
   * @param provesNotExecuted whether the engine is known not to have executed the attempt
   */
  public void onAttemptEnded(String id, boolean provesNotExecuted) {
    AuditedRequest request = requests.get(id);
    if (request != null) {
      request.onAttemptEnded(provesNotExecuted);
      removeIfEnded(id, request);
    }
  }

  // ---- results ----

  /**
   * Returns the maximum load of an engine that was warming up: the work sent to it within a window,
   * as a fraction of the work that it could bear then.
   */
  public double maxSlowStartLoad() {
    return engines.values().stream()
        .mapToDouble(engine -> engine.slowStart().maxLoad())
        .max()
        .orElse(0);
  }

  /** Returns how often each rule was violated, without the rules that were not violated. */
  public Map<Rule, Long> counts() {
    return findings.counts();
  }

  /** Returns the first violations of each rule, in the order of their reports. */
  public List<Violation> violations() {
    return findings.violations();
  }

  /** Returns the number of attempts that were sent. */
  public long attempts() {
    return attempts;
  }

  /** Returns the number of attempts that were sent after the first one of their request. */
  public long retries() {
    return retries;
  }

  /** Returns the number of requests that have not ended. */
  public int openRequests() {
    return requests.size();
  }
}
