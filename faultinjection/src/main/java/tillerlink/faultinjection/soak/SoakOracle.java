package tillerlink.faultinjection.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.faultinjection.soak.SoakSettings.RequestClass;

/**
 * Checks the rules by the observations of clients, engines and the discovery service, and by
 * nothing that a gateway decided. Thread-safe. Times are milliseconds on the clock of the run.
 */
final class SoakOracle {
  private static final double BUDGET_TOLERANCE = 1.15;
  private static final int MAX_PER_RULE = 6;

  /** The order of attempts that are closer than this is unknown. */
  private static final double ORDER_UNCERTAINTY_MS = 5;

  /** How an attempt ended at its engine; violations print the names. */
  enum End {
    ANSWERED,
    REFUSED,
    ERRED,
    GIVEN_UP
  }

  /** How a request ended for its client. */
  enum Answer {
    SERVED,
    REFUSED,
    FAILED
  }

  /** An attempt that has reached an engine. */
  record Attempt(
      String id, int gateway, int engine, String requestClass, long limitMs, double at) {}

  /** What the discovery service announced, and where an engine is. */
  interface DiscoveryHistory {
    /**
     * Since when a gateway knows that the engine drains or is gone, unless it has learnt otherwise
     * since; {@code Double.MAX_VALUE} for never.
     */
    double notReadyAt(int gateway, int engine, double at);

    /** When the present process of the engine started, or 0 if it always ran. */
    double startedAt(int engine, double at);

    /** When a gateway learnt of that start. */
    double startKnownAt(int gateway, int engine, double at);

    /** Whether the engine is in the first zone. */
    boolean inFirstZone(int engine);
  }

  private final SoakClock clock;
  private final DiscoveryHistory discovery;
  private final Map<String, SoakRequest> requests = new HashMap<>();
  private final Map<Integer, Deque<Double>> requestTimes = new HashMap<>();
  private final Map<Integer, Deque<Double>> retries = new HashMap<>();
  private final SlowStartRule slowStart;
  private final Map<String, SoakRequest> lastBySubject = new HashMap<>();

  /** Until when the requests of a gateway are excused, because it was killed or stopped. */
  private final Map<Integer, Double> interruptedUntil = new HashMap<>();

  private final Map<SoakRule, Integer> counts = new EnumMap<>(SoakRule.class);
  private final List<SoakViolation> violations = new ArrayList<>();
  private int attempts;

  SoakOracle(SoakClock clock, DiscoveryHistory discovery) {
    this.clock = clock;
    this.discovery = discovery;
    slowStart = new SlowStartRule(discovery);
  }

  // ---- clients ----

  /** The last byte of a request is about to be written on an open connection. */
  synchronized void submitted(
      String id,
      int gateway,
      RequestClass requestClass,
      String subject,
      double at,
      long deadlineMs) {
    requests.put(id, new SoakRequest(gateway, requestClass, subject, at, at + deadlineMs));
    requestTimes.computeIfAbsent(gateway, g -> new ArrayDeque<>()).addLast(at);
  }

  /** A request got its final response. */
  synchronized void answered(String id, Answer answer, double at) {
    SoakRequest request = requests.get(id);
    if (request.answer != null) {
      violation(
          SoakRule.ANSWER_UNTRUE, "%s was answered %s and then %s", id, request.answer, answer);
    }
    request.answer = answer;
    boolean ran = request.runs.stream().anyMatch(run -> run.end == End.ANSWERED);
    if (answer == Answer.SERVED && !ran) {
      violation(SoakRule.ANSWER_UNTRUE, "%s was served, and no engine answered it", id);
    }
    boolean mayHaveRun = request.runs.stream().anyMatch(run -> run.end != End.REFUSED);
    if (answer == Answer.REFUSED && request.requestClass == RequestClass.BOOK && mayHaveRun) {
      violation(SoakRule.ANSWER_UNTRUE, "%s was refused, and may have run", id);
    }
    if (!request.excused
        && at
            > request.deadline + SoakSettings.ANSWER_SLACK_MS + SoakSettings.SLACK_MS + clock.lag()
        && !wasInterrupted(request.gateway, request.submittedAt)) {
      violation(
          SoakRule.LOST,
          "%s of n%d was answered %.0f ms after its time",
          id,
          request.gateway,
          at - request.deadline);
    }
  }

  /** The client cancelled a request or closed its connection. */
  synchronized void clientDisconnected(String id, double at) {
    requests.get(id).disconnectedAt = Math.min(requests.get(id).disconnectedAt, at);
  }

  /** A request may rightly stay without a response: the harness broke its connection. */
  synchronized void excused(String id) {
    requests.get(id).excused = true;
  }

  /** A connection ended without a response, and only the gateway can have ended it. */
  synchronized void connectionLost(String id, String description) {
    SoakRequest request = requests.get(id);
    if (!request.excused
        && request.answer == null
        && !wasInterrupted(request.gateway, request.submittedAt)) {
      request.excused = true;
      violation(
          SoakRule.LOST,
          "%s of n%d, handed in at %.0f ms: %s at %.0f ms",
          id,
          request.gateway,
          request.submittedAt,
          description,
          clock.now());
    }
  }

  // ---- gateways ----

  /**
   * A gateway was killed or stopped: earlier requests may be late or lost.
   *
   * @param until when it was resumed; {@code Double.MAX_VALUE} while it is stopped
   */
  synchronized void interrupted(int gateway, double until) {
    interruptedUntil.put(gateway, until);
  }

  /** A new process of a gateway starts: budgets and orders count from now. */
  synchronized void started(int gateway) {
    requestTimes.remove(gateway);
    retries.remove(gateway);
    lastBySubject.keySet().removeIf(key -> key.startsWith(gateway + "s"));
  }

  private boolean wasInterrupted(int gateway, double since) {
    return interruptedUntil.getOrDefault(gateway, -1.0) >= since;
  }

  // ---- engines ----

  /** An attempt has reached an engine. */
  synchronized void attempt(Attempt attempt) {
    attempts++;
    SoakRequest request = requests.get(attempt.id);
    if (request == null) {
      violation(SoakRule.DUPLICATE, "an attempt for %s, which nobody asked for", attempt.id);
      return;
    }
    double slack = SoakSettings.SLACK_MS + clock.lag();
    checkDrain(attempt, slack);
    checkDuplicate(request, attempt, slack);
    checkClient(request, attempt, slack);
    if (request.requestClass.bound && !discovery.inFirstZone(attempt.engine)) {
      violation(SoakRule.PLACEMENT, "%s went to e%d", attempt.id, attempt.engine);
    }
    checkOrder(request, attempt);
    checkRetryBudget(request, attempt);
    String overload = slowStart.check(attempt);
    if (overload != null) {
      violation(SoakRule.SLOW_START, "%s", overload);
    }
    request.runs.add(new SoakRequest.Run(attempt));
  }

  private void checkDrain(Attempt attempt, double slack) {
    double since = discovery.notReadyAt(attempt.gateway, attempt.engine, attempt.at);
    if (attempt.at > since + SoakSettings.GRACE_MS + slack) {
      violation(
          SoakRule.DRAIN,
          "n%d sent %s to e%d at %.0f ms, %.0f ms after it was told",
          attempt.gateway,
          attempt.id,
          attempt.engine,
          attempt.at,
          attempt.at - since);
    }
  }

  private void checkDuplicate(SoakRequest request, Attempt attempt, double slack) {
    for (SoakRequest.Run run : request.runs) {
      if (run.end == End.REFUSED || request.requestClass.semantics.equals("repeatable")) {
        continue;
      }
      boolean inWindow =
          request.requestClass == RequestClass.LOAD
              && attempt.at <= run.attempt.at + SoakSettings.WINDOW_MS + slack;
      if (!inWindow) {
        violation(
            SoakRule.DUPLICATE,
            "%s came to e%d at %.0f ms, after e%d at %.0f ms (%s)",
            attempt.id,
            attempt.engine,
            attempt.at,
            run.attempt.engine,
            run.attempt.at,
            run.end);
      }
    }
  }

  private void checkClient(SoakRequest request, Attempt attempt, double slack) {
    if (attempt.at > request.disconnectedAt + SoakSettings.CANCELLED_SLACK_MS + slack) {
      violation(
          SoakRule.CANCELLED,
          "n%d sent %s to e%d %.0f ms after its client left",
          attempt.gateway,
          attempt.id,
          attempt.engine,
          attempt.at - request.disconnectedAt);
    }
    double remaining = request.deadline - attempt.at;
    if (attempt.limitMs > Math.max(0, remaining) + SoakSettings.LIMIT_SLACK_MS + slack) {
      violation(
          SoakRule.LIMIT,
          "n%d told e%d that %s waits %d ms, and it waits %.0f",
          attempt.gateway,
          attempt.engine,
          attempt.id,
          attempt.limitMs,
          remaining);
    }
  }

  private void checkOrder(SoakRequest request, Attempt attempt) {
    if (!request.requestClass.ordered) {
      return;
    }
    SoakRequest before = lastBySubject.put(request.gateway + request.subject, request);
    if (before == null || before == request) {
      return;
    }
    if (before.isInFlight() && !wasInterrupted(request.gateway, before.submittedAt)) {
      violation(
          SoakRule.ORDER,
          "%s of %s is out at n%d while one before it is",
          attempt.id,
          request.subject,
          request.gateway);
    } else if (before.submittedAt > request.submittedAt + ORDER_UNCERTAINTY_MS
        && before.deadline > attempt.at
        && !wasInterrupted(request.gateway, request.submittedAt)) {
      violation(
          SoakRule.ORDER,
          "%s of %s went out after one that came later to n%d",
          attempt.id,
          request.subject,
          request.gateway);
    }
  }

  private void checkRetryBudget(SoakRequest request, Attempt attempt) {
    if (request.runs.isEmpty()) {
      return;
    }
    Deque<Double> recentRetries = retries.computeIfAbsent(attempt.gateway, g -> new ArrayDeque<>());
    recentRetries.addLast(attempt.at);
    double spanStart = attempt.at - SoakSettings.BUDGET_SPAN_MS;
    recentRetries.removeIf(at -> at < spanStart);
    Deque<Double> recentRequests =
        requestTimes.computeIfAbsent(attempt.gateway, g -> new ArrayDeque<>());
    recentRequests.removeIf(at -> at < spanStart - SoakSettings.BUDGET_SPAN_MS);
    long recent =
        recentRequests.stream().filter(at -> at >= spanStart - SoakSettings.SLACK_MS).count();
    double limit =
        BUDGET_TOLERANCE * (SoakSettings.BUDGET_FLOOR + SoakSettings.BUDGET_SHARE * recent) + 1;
    if (recentRetries.size() > limit) {
      violation(
          SoakRule.RETRY_BUDGET,
          "n%d made %d further attempts in 10 s with %d requests",
          attempt.gateway,
          recentRetries.size(),
          recent);
    }
  }

  /** An attempt has ended at its engine. */
  synchronized void attemptEnded(int engine, String id, End end) {
    SoakRequest request = requests.get(id);
    if (request != null) {
      request.runs.stream()
          .filter(run -> run.attempt.engine == engine && run.end == null)
          .forEach(run -> run.end = end);
    }
  }

  // ---- in general ----

  /** A violation inside a process. */
  synchronized void inside(String description) {
    violation(SoakRule.INSIDE, "%s", description);
  }

  private void violation(SoakRule rule, String format, Object... values) {
    if (counts.merge(rule, 1, Integer::sum) <= MAX_PER_RULE) {
      violations.add(new SoakViolation(rule, String.format(Locale.ROOT, format, values)));
    }
  }

  /** The run has ended: requests without a response are lost. */
  synchronized List<SoakViolation> end() {
    requests.forEach(
        (id, request) -> {
          if (request.isOpen()
              && !request.excused
              && !wasInterrupted(request.gateway, request.submittedAt)) {
            violation(
                SoakRule.LOST,
                "%s of n%d, handed in at %.0f ms, was never answered",
                id,
                request.gateway,
                request.submittedAt);
          }
        });
    return violations();
  }

  synchronized List<SoakViolation> violations() {
    return List.copyOf(violations);
  }

  synchronized Map<SoakRule, Integer> counts() {
    return Map.copyOf(counts);
  }

  synchronized int requests() {
    return requests.size();
  }

  synchronized int attempts() {
    return attempts;
  }

  synchronized long served() {
    return requests.values().stream().filter(request -> request.answer == Answer.SERVED).count();
  }

  synchronized long refused() {
    return requests.values().stream().filter(request -> request.answer == Answer.REFUSED).count();
  }
}
