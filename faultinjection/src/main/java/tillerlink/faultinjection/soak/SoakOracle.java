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
 * Checks the rules of {@link SoakRule} from the observations of clients, engines and the discovery
 * service, without use of any decision of a gateway. Thread-safe. Times are milliseconds on the
 * clock of the run.
 */
final class SoakOracle {
  private static final double BUDGET_TOLERANCE = 1.15;
  private static final int MAX_PER_RULE = 6;

  /** The order of requests whose times differ by less than this is not certain. */
  private static final double ORDER_UNCERTAINTY_MS = 5;

  /** The outcome of an attempt at its engine; the names are printed in violations. */
  enum End {
    ANSWERED,
    REFUSED,
    ERRED,
    GIVEN_UP
  }

  /** The outcome of a request for its client. */
  enum Answer {
    SERVED,
    REFUSED,
    FAILED
  }

  /** An attempt that has reached an engine, with the time limit that the gateway sent. */
  record Attempt(
      String id, int gateway, int engine, String requestClass, long limitMs, double at) {}

  /** The history of the announcements of the discovery service, and the zones of the engines. */
  interface DiscoveryHistory {
    /**
     * Returns the time since which a gateway knows that an engine drains or was removed; {@code
     * Double.MAX_VALUE} if it does not know that, or may know of a later start of the engine.
     */
    double notReadyAt(int gateway, int engine, double at);

    /** Returns when the engine's process at a time had started, or 0 if it was never replaced. */
    double startedAt(int engine, double at);

    /** Returns when a gateway learnt of that start, or {@code Double.MAX_VALUE}. */
    double startKnownAt(int gateway, int engine, double at);

    /** Returns whether the engine is in the first zone. */
    boolean inFirstZone(int engine);
  }

  private final SoakClock clock;
  private final DiscoveryHistory discovery;
  private final Map<String, SoakRequest> requests = new HashMap<>();
  private final Map<Integer, Deque<Double>> requestTimes = new HashMap<>();
  private final Map<Integer, Deque<Double>> retries = new HashMap<>();
  private final SlowStartRule slowStart;
  private final Map<String, SoakRequest> lastBySubject = new HashMap<>();

  /** The time up to which the requests of a gateway are excused after a kill or a stop. */
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

  /** Records a request whose last byte is about to be written on an open connection. */
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

  /** Records the final response to a request. */
  synchronized void answered(String id, Answer answer, double at) {
    SoakRequest request = requests.get(id);
    if (request.answer != null) {
      violation(
          SoakRule.ANSWER_UNTRUE,
          "%s got two final responses, %s and %s",
          id,
          request.answer,
          answer);
    }
    request.answer = answer;
    boolean ran = request.runs.stream().anyMatch(run -> run.end == End.ANSWERED);
    if (answer == Answer.SERVED && !ran) {
      violation(SoakRule.ANSWER_UNTRUE, "%s was served, but no engine answered it", id);
    }
    boolean mayHaveRun = request.runs.stream().anyMatch(run -> run.end != End.REFUSED);
    if (answer == Answer.REFUSED && request.requestClass == RequestClass.BOOK && mayHaveRun) {
      violation(SoakRule.ANSWER_UNTRUE, "%s was refused, but may have run", id);
    }
    if (!request.excused
        && at
            > request.deadline + SoakSettings.ANSWER_SLACK_MS + SoakSettings.SLACK_MS + clock.lag()
        && !wasInterrupted(request.gateway, request.submittedAt)) {
      violation(
          SoakRule.LOST,
          "%s of n%d got its response %.0f ms after its deadline",
          id,
          request.gateway,
          at - request.deadline);
    }
  }

  /** Records that the client cancelled a request or closed its connection. */
  synchronized void clientDisconnected(String id, double at) {
    requests.get(id).disconnectedAt = Math.min(requests.get(id).disconnectedAt, at);
  }

  /** Records that a request may stay without a response, as the harness broke its connection. */
  synchronized void excused(String id) {
    requests.get(id).excused = true;
  }

  /** Records that a connection ended without a response, which only the gateway can have caused. */
  synchronized void connectionLost(String id, String description) {
    SoakRequest request = requests.get(id);
    if (!request.excused
        && request.answer == null
        && !wasInterrupted(request.gateway, request.submittedAt)) {
      request.excused = true;
      violation(
          SoakRule.LOST,
          "%s of n%d, submitted at %.0f ms: %s at %.0f ms",
          id,
          request.gateway,
          request.submittedAt,
          description,
          clock.now());
    }
  }

  // ---- gateways ----

  /**
   * Records that a gateway was killed or stopped, so that earlier requests may be late or lost.
   *
   * @param until the time of the kill or the resumption; {@code Double.MAX_VALUE} while the gateway
   *     is stopped
   */
  synchronized void interrupted(int gateway, double until) {
    interruptedUntil.put(gateway, until);
  }

  /** Records that a new process of a gateway starts, with new retry budgets and orders. */
  synchronized void started(int gateway) {
    requestTimes.remove(gateway);
    retries.remove(gateway);
    lastBySubject.keySet().removeIf(key -> key.startsWith(gateway + "s"));
  }

  private boolean wasInterrupted(int gateway, double since) {
    return interruptedUntil.getOrDefault(gateway, -1.0) >= since;
  }

  // ---- engines ----

  /** Records an attempt that has reached an engine, and checks the rules for it. */
  synchronized void attempt(Attempt attempt) {
    attempts++;
    SoakRequest request = requests.get(attempt.id);
    if (request == null) {
      violation(SoakRule.DUPLICATE, "an attempt for %s, which no client submitted", attempt.id);
      return;
    }
    double slack = SoakSettings.SLACK_MS + clock.lag();
    checkDrain(attempt, slack);
    checkDuplicate(request, attempt, slack);
    checkClient(request, attempt, slack);
    if (request.requestClass.firstZoneOnly && !discovery.inFirstZone(attempt.engine)) {
      violation(
          SoakRule.PLACEMENT, "%s reached e%d, outside the first zone", attempt.id, attempt.engine);
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
          "n%d sent %s to e%d at %.0f ms, %.0f ms after it knew of the drain or removal",
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
            "%s reached e%d at %.0f ms, after e%d at %.0f ms (%s)",
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
          "n%d sent %s to e%d %.0f ms after its client disconnected",
          attempt.gateway,
          attempt.id,
          attempt.engine,
          attempt.at - request.disconnectedAt);
    }
    double remaining = request.deadline - attempt.at;
    if (attempt.limitMs > Math.max(0, remaining) + SoakSettings.LIMIT_SLACK_MS + slack) {
      violation(
          SoakRule.LIMIT,
          "n%d sent e%d a limit for %s of %d ms, %.0f ms before its deadline",
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
          "%s of %s is in flight at n%d together with an earlier request",
          attempt.id,
          request.subject,
          request.gateway);
    } else if (before.submittedAt > request.submittedAt + ORDER_UNCERTAINTY_MS
        && before.deadline > attempt.at
        && !wasInterrupted(request.gateway, request.submittedAt)) {
      violation(
          SoakRule.ORDER,
          "%s of %s was sent after a request that was submitted later to n%d",
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
          "n%d made %d retries in 10 s with %d requests",
          attempt.gateway,
          recentRetries.size(),
          recent);
    }
  }

  /** Records the outcome of an attempt at its engine. */
  synchronized void attemptEnded(int engine, String id, End end) {
    SoakRequest request = requests.get(id);
    if (request != null) {
      request.runs.stream()
          .filter(run -> run.attempt.engine == engine && run.end == null)
          .forEach(run -> run.end = end);
    }
  }

  // ---- in general ----

  /** Adds a violation that a process or the harness reported. */
  synchronized void inside(String description) {
    violation(SoakRule.INSIDE, "%s", description);
  }

  private void violation(SoakRule rule, String format, Object... values) {
    if (counts.merge(rule, 1, Integer::sum) <= MAX_PER_RULE) {
      violations.add(new SoakViolation(rule, String.format(Locale.ROOT, format, values)));
    }
  }

  /** Ends the run: reports requests without a response as lost, and returns the violations. */
  synchronized List<SoakViolation> end() {
    requests.forEach(
        (id, request) -> {
          if (request.isOpen()
              && !request.excused
              && !wasInterrupted(request.gateway, request.submittedAt)) {
            violation(
                SoakRule.LOST,
                "%s of n%d, submitted at %.0f ms, got no final response",
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
