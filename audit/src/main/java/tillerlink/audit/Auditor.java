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
 * Observes what passes between clients, gateways and engines, and reports violations of the rules.
 * It knows nothing of how a gateway decides, and forgets a request once nothing more can be said of
 * it. Not thread-safe. Times are tenths of a millisecond.
 */
public class Auditor {
  /** How late a final answer may be, for what sockets take. */
  private static final long MAX_ANSWER_DELAY = 500;

  private static final int TENTHS_PER_MS = 10;

  /** How a request was answered, as its client saw it. Its constants' names are printed. */
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

  /** Engines that were reported once for too much work while they were warming up. */
  private final Set<String> overloaded = new HashSet<>();

  private long attempts;
  private long retries;

  /**
   * @param ordered of each request class, whether requests of one key run in their order; false for
   *     those not given
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
   * A gateway has accepted a request.
   *
   * @param requestClass an index of the request classes
   * @param key the idempotency key, or null
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

  /** A client has got an answer. */
  public void onAnswer(long now, String id, Answer answer) {
    AuditedRequest request = requests.get(id);
    if (request == null || request.isAnswered()) {
      findings.report(
          Rule.ANSWER,
          now,
          id + " was answered " + answer + (request == null ? " after its end" : " once more"));
      return;
    }
    request.onAnswer(answer);
    if (now > request.clientDeadline() + MAX_ANSWER_DELAY) {
      long lateMs = (now - request.clientDeadline()) / TENTHS_PER_MS;
      findings.report(Rule.ANSWER, now, id + " was answered " + lateMs + " ms too late");
    }
    if (answer == Answer.REJECTED && request.isEffectful() && request.mayHaveRun()) {
      findings.report(Rule.EFFECT, now, id + " was rejected though it may have run");
    }
    if (answer == Answer.SUCCEEDED && request.executions() == 0) {
      findings.report(Rule.ANSWER, now, id + " succeeded though no engine ran it");
    }
    forgetIfOver(id, request);
  }

  /** A client was given another result than its engine's. */
  public void onWrongResult(long now, String id) {
    findings.report(Rule.ANSWER, now, id + " was given another result than its engine's");
  }

  /**
   * A client disconnected without an answer.
   *
   * @param timeUp whether its deadline had passed, so that it should have had one
   */
  public void onClientDisconnected(long now, String id, boolean timeUp) {
    AuditedRequest request = requests.get(id);
    if (request == null) {
      return;
    }
    if (timeUp && !request.isAnswered()) {
      findings.report(Rule.ANSWER, now, id + " was not answered in time");
    }
    request.onClientDisconnected();
    forgetIfOver(id, request);
  }

  /** A gateway was killed: its requests are not audited any more. */
  public void onGatewayKilled(int gateway) {
    retryBudgets.get(gateway).clear();
    engines.values().forEach(engine -> engine.forgetGateway(gateway));
    requests.values().removeIf(request -> request.gateway() == gateway);
    keyOrder.removeIf(id -> !requests.containsKey(id));
  }

  private void forgetIfOver(String id, AuditedRequest request) {
    if (request.isOver()) {
      requests.remove(id);
      keyOrder.remove(request.key(), id);
    }
  }

  // ---- engines ----

  /**
   * An engine came up.
   *
   * @param kind an index of the fleet's kinds
   * @param startedAt long ago if not above 0
   */
  public void onEngineStarted(String engine, int kind, long startedAt) {
    engines.put(engine, new AuditedEngine(fleet, kind, startedAt));
  }

  /** A gateway was notified that an engine is draining or gone. */
  public void onEndpointWithdrawn(long now, int gateway, String engine) {
    AuditedEngine withdrawn = engines.get(engine);
    if (withdrawn != null) {
      withdrawn.withdraw(gateway, now);
    }
  }

  /** An engine ended for good, and all gateways were notified. */
  public void onEngineForgotten(String engine) {
    engines.remove(engine);
  }

  // ---- attempts ----

  /** The first byte of an attempt was sent. */
  public void onAttemptSent(long now, int gateway, String engine, String id) {
    AuditedEngine target = engines.get(engine);
    AuditedRequest request = requests.get(id);
    if (request == null) {
      findings.report(
          Rule.ANSWER, now, "an attempt of " + id + " went to " + engine + " though it was over");
      return;
    }
    if (target == null) {
      findings.report(
          Rule.DRAIN, now, "an attempt of " + id + " went to " + engine + ", which nobody knows");
      return;
    }
    if (request.isClosedForClient()) {
      findings.report(Rule.ANSWER, now, "an attempt of " + id + " went out after its answer");
    }
    checkDrain(now, gateway, engine, target, id);
    checkPlacement(now, engine, target, id, request);
    checkEffect(now, id, request);
    if (!keyOrder.isFirst(request.key(), id)) {
      findings.report(
          Rule.ORDER,
          now,
          id + " went out before " + keyOrder.first(request.key()) + " of the same key was over");
    }
    attempts++;
    if (request.wasSent()) {
      retries++;
      checkRetryBudget(now, gateway);
    }
    request.onAttemptSent(now);
  }

  private void checkDrain(long now, int gateway, String engine, AuditedEngine target, String id) {
    OptionalLong since = target.withdrawnAt(gateway);
    if (since.isPresent() && now > since.getAsLong() + fleet.drainGrace()) {
      findings.report(
          Rule.DRAIN,
          now,
          id
              + " went from n"
              + gateway
              + " to "
              + engine
              + " "
              + (now - since.getAsLong()) / TENTHS_PER_MS
              + " ms after it was reported as draining or gone");
    }
  }

  private void checkPlacement(
      long now, String engine, AuditedEngine target, String id, AuditedRequest request) {
    List<String> allowed = request.requestClass().kinds();
    if (!allowed.isEmpty() && !allowed.contains(fleet.kinds().get(target.kind()).name())) {
      findings.report(
          Rule.PLACEMENT, now, id + " of " + request.requestClass().name() + " went to " + engine);
    }
  }

  private void checkEffect(long now, String id, AuditedRequest request) {
    if (request.isEffectful() && request.mayRunOrHaveRun()) {
      findings.report(Rule.EFFECT, now, id + " went out again though it may have run");
    }
    if (request.isDeduplicationWindowOver(now)) {
      findings.report(
          Rule.EFFECT, now, id + " went out again after engines forgot its idempotency key");
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
              + " made "
              + budget.retries()
              + " retries where "
              + Math.floor(budget.allowedRetries())
              + " were allowed");
    }
  }

  /**
   * An attempt came whole to an engine that will execute it.
   *
   * @param work what it takes on one core
   */
  public void onAttemptExecuted(long now, String engine, String id, double work) {
    AuditedRequest request = requests.get(id);
    if (request != null) {
      request.onExecuted();
      if (request.isEffectful() && request.executions() > 1) {
        findings.report(Rule.EFFECT, now, id + " ran twice");
      }
    }
    AuditedEngine target = engines.get(engine);
    if (target != null && fleet.overloadWindow() > 0) {
      checkSlowStart(now, engine, target.slowStart(), work);
    }
  }

  private void checkSlowStart(long now, String engine, SlowStartWindow slowStart, double work) {
    if (slowStart.add(now, work) && overloaded.add(engine)) {
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
   * An attempt ended.
   *
   * @param provesNotExecuted whether it is known that the engine did not execute it
   */
  public void onAttemptEnded(String id, boolean provesNotExecuted) {
    AuditedRequest request = requests.get(id);
    if (request != null) {
      request.onAttemptEnded(provesNotExecuted);
      forgetIfOver(id, request);
    }
  }

  // ---- results ----

  /** The most work sent to an engine that was warming up, as a fraction of what it could bear. */
  public double maxSlowStartLoad() {
    return engines.values().stream()
        .mapToDouble(engine -> engine.slowStart().maxLoad())
        .max()
        .orElse(0);
  }

  /** How often each rule was violated; rules that were not are left out. */
  public Map<Rule, Long> counts() {
    return findings.counts();
  }

  /** The first violations of each rule, in the order of their time. */
  public List<Violation> violations() {
    return findings.violations();
  }

  /** How many attempts were sent. */
  public long attempts() {
    return attempts;
  }

  /** How many attempts were sent beyond each request's first. */
  public long retries() {
    return retries;
  }

  /** How many requests are not over. */
  public int openRequests() {
    return requests.size();
  }
}
