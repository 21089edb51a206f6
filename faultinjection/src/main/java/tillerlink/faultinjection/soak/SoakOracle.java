package tillerlink.faultinjection.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.faultinjection.soak.SoakTerms.RequestClass;

/**
 * Judges the rules by what clients, engines and the discovery service saw, and by nothing that a
 * gateway decided. Told from any thread. Times are milliseconds on the clock of the run.
 */
final class SoakOracle {
  private static final int WORDS_KEPT = 6;

  /** Attempts that come within so long of each other can't be told apart in their order. */
  private static final double SAME_MOMENT_MS = 5;

  /** How an attempt ended at its engine. */
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

  /** A request that has come whole to an engine, or begun to. */
  record Attempt(
      String id, int gateway, int engine, String requestClass, long limitMs, double at) {}

  /** What the discovery service told, and where an engine is. */
  interface Told {
    /**
     * When a gateway was told that the engine drains or is gone, and has not been told otherwise
     * since; or never.
     */
    double notReadyAt(int gateway, int engine, double at);

    /** When the engine's present process started, or 0 if it was always there. */
    double startedAt(int engine, double at);

    /** When a gateway was told of that start. */
    double startToldAt(int gateway, int engine, double at);

    boolean inFirstZone(int engine);
  }

  private static final class Request {
    private final int gateway;
    private final RequestClass requestClass;
    private final String subject;
    private final double at;
    private final double until;
    private Answer answer;
    private double leftAt = Double.MAX_VALUE;
    private boolean excused;
    private final List<Run> runs = new ArrayList<>();

    Request(int gateway, RequestClass requestClass, String subject, double at, double until) {
      this.gateway = gateway;
      this.requestClass = requestClass;
      this.subject = subject;
      this.at = at;
      this.until = until;
    }
  }

  private static final class Run {
    private final Attempt attempt;
    private End end;

    Run(Attempt attempt) {
      this.attempt = attempt;
    }
  }

  private final SoakClock clock;
  private final Told told;
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<Integer, Deque<Double>> taken = new HashMap<>();
  private final Map<Integer, Deque<Double>> further = new HashMap<>();
  private final Map<Integer, Deque<Attempt>> cold = new HashMap<>();
  private final Map<String, Request> outBySubject = new HashMap<>();

  /** Until when what a gateway owes is excused: it was killed, or stood still so long. */
  private final Map<Integer, Double> stoodStill = new HashMap<>();

  private final Map<SoakRule, Integer> counts = new EnumMap<>(SoakRule.class);
  private final List<SoakViolation> violations = new ArrayList<>();
  private int attempts;

  SoakOracle(SoakClock clock, Told told) {
    this.clock = clock;
    this.told = told;
  }

  // ---- clients ----

  /** Its last byte is about to be written, on a connection that was accepted. */
  synchronized void handedIn(
      String id,
      int gateway,
      RequestClass requestClass,
      String subject,
      double at,
      long deadlineMs) {
    requests.put(id, new Request(gateway, requestClass, subject, at, at + deadlineMs));
    taken.computeIfAbsent(gateway, g -> new ArrayDeque<>()).addLast(at);
  }

  synchronized void answered(String id, Answer answer, double at) {
    Request request = requests.get(id);
    if (request.answer != null) {
      broken(SoakRule.ANSWER_UNTRUE, "%s was answered %s and then %s", id, request.answer, answer);
    }
    request.answer = answer;
    boolean ran = request.runs.stream().anyMatch(run -> run.end == End.ANSWERED);
    if (answer == Answer.SERVED && !ran) {
      broken(SoakRule.ANSWER_UNTRUE, "%s was served, and no engine answered it", id);
    }
    boolean mayHaveRun = request.runs.stream().anyMatch(run -> run.end != End.REFUSED);
    if (answer == Answer.REFUSED && request.requestClass == RequestClass.BOOK && mayHaveRun) {
      broken(SoakRule.ANSWER_UNTRUE, "%s was refused, and may have run", id);
    }
    if (!request.excused
        && at > request.until + SoakTerms.ANSWER_SLACK_MS + SoakTerms.SLACK_MS + clock.lag()
        && !stoodStill(request.gateway, request.at)) {
      broken(
          SoakRule.LOST,
          "%s of n%d was answered %.0f ms after its time",
          id,
          request.gateway,
          at - request.until);
    }
  }

  /** Its client cancelled it or closed its connection. */
  synchronized void left(String id, double at) {
    requests.get(id).leftAt = Math.min(requests.get(id).leftAt, at);
  }

  /**
   * The rig itself broke its connection, or its gateway was killed: it may stay without an answer.
   */
  synchronized void excused(String id) {
    requests.get(id).excused = true;
  }

  /** Its connection ended without an answer, and nobody but the gateway can have done that. */
  synchronized void cut(String id, String words) {
    Request request = requests.get(id);
    if (!request.excused && request.answer == null && !stoodStill(request.gateway, request.at)) {
      request.excused = true;
      broken(
          SoakRule.LOST,
          "%s of n%d, handed in at %.0f ms: %s at %.0f ms",
          id,
          request.gateway,
          request.at,
          words,
          clock.now());
    }
  }

  // ---- gateways ----

  /**
   * It was killed, or stands still: what it was handed before may be late or lost.
   *
   * @param until when it went on; later than any time while it stands
   */
  synchronized void interrupted(int gateway, double until) {
    stoodStill.put(gateway, until);
  }

  /** A new process of it begins: budgets and orders count from its start. */
  synchronized void started(int gateway) {
    taken.remove(gateway);
    further.remove(gateway);
    outBySubject.keySet().removeIf(key -> key.startsWith(gateway + "s"));
  }

  private boolean stoodStill(int gateway, double since) {
    return stoodStill.getOrDefault(gateway, -1.0) >= since;
  }

  // ---- engines ----

  synchronized void attempt(Attempt attempt) {
    attempts++;
    Request request = requests.get(attempt.id);
    if (request == null) {
      broken(SoakRule.DUPLICATE, "an attempt for %s, which nobody asked for", attempt.id);
      return;
    }
    double slack = SoakTerms.SLACK_MS + clock.lag();
    drain(attempt, slack);
    duplicate(request, attempt, slack);
    client(request, attempt, slack);
    if (request.requestClass.bound && !told.inFirstZone(attempt.engine)) {
      broken(SoakRule.PLACEMENT, "%s went to e%d", attempt.id, attempt.engine);
    }
    order(request, attempt);
    budget(request, attempt);
    slowStart(attempt);
    request.runs.add(new Run(attempt));
  }

  private void drain(Attempt attempt, double slack) {
    double since = told.notReadyAt(attempt.gateway, attempt.engine, attempt.at);
    if (attempt.at > since + SoakTerms.GRACE_MS + slack) {
      broken(
          SoakRule.DRAIN,
          "n%d sent %s to e%d at %.0f ms, %.0f ms after it was told",
          attempt.gateway,
          attempt.id,
          attempt.engine,
          attempt.at,
          attempt.at - since);
    }
  }

  private void duplicate(Request request, Attempt attempt, double slack) {
    for (Run run : request.runs) {
      if (run.end == End.REFUSED || request.requestClass.semantics.equals("repeatable")) {
        continue;
      }
      boolean inWindow =
          request.requestClass == RequestClass.LOAD
              && attempt.at <= run.attempt.at + SoakTerms.WINDOW_MS + slack;
      if (!inWindow) {
        broken(
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

  private void client(Request request, Attempt attempt, double slack) {
    if (attempt.at > request.leftAt + SoakTerms.CANCELLED_SLACK_MS + slack) {
      broken(
          SoakRule.CANCELLED,
          "n%d sent %s to e%d %.0f ms after its client left",
          attempt.gateway,
          attempt.id,
          attempt.engine,
          attempt.at - request.leftAt);
    }
    double left = request.until - attempt.at;
    if (attempt.limitMs > Math.max(0, left) + SoakTerms.LIMIT_SLACK_MS + slack) {
      broken(
          SoakRule.LIMIT,
          "n%d told e%d that %s waits %d ms, and it waits %.0f",
          attempt.gateway,
          attempt.engine,
          attempt.id,
          attempt.limitMs,
          left);
    }
  }

  private void order(Request request, Attempt attempt) {
    if (!request.requestClass.ordered) {
      return;
    }
    Request before = outBySubject.get(request.gateway + request.subject);
    boolean out =
        before != null
            && before != request
            && before.answer == null
            && before.leftAt == Double.MAX_VALUE
            && before.runs.stream().anyMatch(run -> run.end == null)
            && !stoodStill(request.gateway, before.at);
    if (out) {
      broken(
          SoakRule.ORDER,
          "%s of %s is out at n%d while one before it is",
          attempt.id,
          request.subject,
          request.gateway);
    } else if (before != null
        && before != request
        && before.at > request.at + SAME_MOMENT_MS
        && before.until > attempt.at
        && !stoodStill(request.gateway, request.at)) {
      broken(
          SoakRule.ORDER,
          "%s of %s went out after one that came later to n%d",
          attempt.id,
          request.subject,
          request.gateway);
    }
    outBySubject.put(request.gateway + request.subject, request);
  }

  private void budget(Request request, Attempt attempt) {
    if (request.runs.isEmpty()) {
      return;
    }
    Deque<Double> more = further.computeIfAbsent(attempt.gateway, g -> new ArrayDeque<>());
    more.addLast(attempt.at);
    double from = attempt.at - SoakTerms.BUDGET_SPAN_MS;
    more.removeIf(at -> at < from);
    Deque<Double> came = taken.computeIfAbsent(attempt.gateway, g -> new ArrayDeque<>());
    came.removeIf(at -> at < from - SoakTerms.BUDGET_SPAN_MS);
    long recent = came.stream().filter(at -> at >= from - SoakTerms.SLACK_MS).count();
    double most = 1.15 * (SoakTerms.BUDGET_FLOOR + SoakTerms.BUDGET_SHARE * recent) + 1;
    if (more.size() > most) {
      broken(
          SoakRule.RETRY_BUDGET,
          "n%d made %d further attempts in 10 s with %d requests",
          attempt.gateway,
          more.size(),
          recent);
    }
  }

  /**
   * By requests of mean work: the engine falls at N and twice its root, and 2; with N under 30 at
   * thrice its root, and 3.
   */
  private void slowStart(Attempt attempt) {
    double started = told.startedAt(attempt.engine, attempt.at);
    if (started <= 0 || attempt.at > started + SoakTerms.WARM_WITHIN_MS) {
      cold.remove(attempt.engine);
      return;
    }
    Deque<Attempt> came = cold.computeIfAbsent(attempt.engine, e -> new ArrayDeque<>());
    came.addLast(attempt);
    came.removeIf(one -> one.at < attempt.at - SoakTerms.FALL_MS || one.at < started);
    double warmth =
        SoakTerms.START_CAPACITY
            + (1 - SoakTerms.START_CAPACITY) * (attempt.at - started) / SoakTerms.WARM_WITHIN_MS;
    double n =
        SoakTerms.FALL_MULTIPLE
            * warmth
            * SoakTerms.CORES
            * SoakTerms.FALL_MS
            / SoakLoad.ESTIMATE_MS;
    double most = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
    long knowing =
        came.stream()
            .filter(one -> told.startToldAt(one.gateway, one.engine, one.at) <= one.at)
            .count();
    if (came.size() > most && knowing > came.size() * 2 / 3) {
      broken(
          SoakRule.SLOW_START,
          "e%d got %d requests in 3 s, %.0f ms after its start, %d of them from who knew; it bears"
              + " %.0f",
          attempt.engine,
          came.size(),
          attempt.at - started,
          knowing,
          most);
    }
  }

  synchronized void attemptEnded(int engine, String id, End end) {
    Request request = requests.get(id);
    if (request != null) {
      request.runs.stream()
          .filter(run -> run.attempt.engine == engine && run.end == null)
          .forEach(run -> run.end = end);
    }
  }

  // ---- in general ----

  synchronized void inside(String words) {
    broken(SoakRule.INSIDE, "%s", words);
  }

  private void broken(SoakRule rule, String words, Object... values) {
    if (counts.merge(rule, 1, Integer::sum) <= WORDS_KEPT) {
      violations.add(new SoakViolation(rule, String.format(Locale.ROOT, words, values)));
    }
  }

  /** All is over: what was not answered is lost. */
  synchronized List<SoakViolation> end() {
    requests.forEach(
        (id, request) -> {
          boolean owed =
              request.answer == null && request.leftAt == Double.MAX_VALUE && !request.excused;
          if (owed && !stoodStill(request.gateway, request.at)) {
            broken(
                SoakRule.LOST,
                "%s of n%d, handed in at %.0f ms, was never answered",
                id,
                request.gateway,
                request.at);
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
