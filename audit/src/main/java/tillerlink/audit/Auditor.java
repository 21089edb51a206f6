package tillerlink.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tillerlink.fleet.Fleet;
import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/**
 * Watches what crosses between clients, gateways and engines, and tells which rules were broken. It
 * knows nothing of how a gateway comes to its decisions, and keeps nothing of a request once all
 * that can be said of it was said. Times are tenths of a millisecond.
 */
public class Auditor {
  /** How late a final answer may be on sockets. */
  private static final long ANSWER_SLACK = 500;

  private static final int KEPT_OF_EACH = 20;

  /** How a request was answered, as its client saw it. */
  public enum Answer {
    FULFILLED,
    TURNED_BACK,
    BROKEN_OFF
  }

  /** A request that a gateway has taken. */
  private static final class Case {
    private final int gateway;
    private final RequestClassSpec requestClass;
    private final long clientDeadline;
    private final String key;
    private Answer answer;
    private boolean left;
    private int sent;
    private int out;

    /** Attempts that ended with no proof that nothing ran. */
    private int mayHaveRun;

    private int ran;

    /** When the first attempt that may have run was sent. */
    private long firstRunAt = Long.MIN_VALUE;

    Case(int gateway, RequestClassSpec requestClass, long clientDeadline, String key) {
      this.gateway = gateway;
      this.requestClass = requestClass;
      this.clientDeadline = clientDeadline;
      this.key = key;
    }
  }

  private static final class Watched {
    private final int kind;
    private final long startedAt;
    private final Map<Integer, Long> withdrawnFor = new HashMap<>();
    private final ArrayDeque<double[]> sent = new ArrayDeque<>();
    private double workSent;
    private double maxWork;

    Watched(int kind, long startedAt) {
      this.kind = kind;
      this.startedAt = startedAt;
    }
  }

  private final Fleet fleet;
  private final List<RequestClassSpec> requestClasses;
  private final Map<String, Case> cases = new HashMap<>();
  private final Map<String, Watched> engines = new LinkedHashMap<>();
  private final List<ArrayDeque<Long>> taken = new ArrayList<>();
  private final List<ArrayDeque<Long>> further = new ArrayList<>();
  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);
  private final List<Violation> violations = new ArrayList<>();

  /** Ordered request classes: of each key, those taken and not over, first come first. */
  private final Map<String, ArrayDeque<String>> lines = new HashMap<>();

  private final Set<String> fallen = new HashSet<>();
  private long attempts;
  private long retries;
  private final boolean[] ordered;

  public Auditor(Fleet fleet, List<RequestClassSpec> requestClasses, boolean... ordered) {
    this.fleet = fleet;
    this.requestClasses = requestClasses;
    this.ordered = Arrays.copyOf(ordered, requestClasses.size());
    for (int i = 0; i < fleet.gateways(); i++) {
      taken.add(new ArrayDeque<>());
      further.add(new ArrayDeque<>());
    }
  }

  private void violation(Rule rule, long at, String what) {
    if (counts.merge(rule, 1L, Long::sum) <= KEPT_OF_EACH) {
      violations.add(new Violation(rule, at, what));
    }
  }

  // ---- clients ----

  /** A gateway has taken a request. */
  public void taken(
      long now, int gateway, String id, int requestClass, String key, long clientDeadline) {
    cases.put(id, new Case(gateway, requestClasses.get(requestClass), clientDeadline, key));
    if (ordered[requestClass] && key != null) {
      lines.computeIfAbsent(key, k -> new ArrayDeque<>()).add(id);
    }
    ArrayDeque<Long> seen = taken.get(gateway);
    seen.add(now);
    drop(seen, now);
  }

  public void answered(long now, String id, Answer answer) {
    Case one = cases.get(id);
    if (one == null || one.answer != null) {
      violation(
          Rule.ANSWER,
          now,
          id + " was answered " + answer + (one == null ? " after its end" : " once more"));
      return;
    }
    one.answer = answer;
    if (now > one.clientDeadline + ANSWER_SLACK) {
      violation(
          Rule.ANSWER,
          now,
          id + " was answered " + (now - one.clientDeadline) / 10 + " ms too late");
    }
    boolean safe = one.requestClass.effect() != Effect.EFFECTFUL;
    if (answer == Answer.TURNED_BACK && !safe && one.mayHaveRun > 0) {
      violation(Rule.EFFECT, now, id + " was turned back though it may have run");
    }
    if (answer == Answer.FULFILLED && one.ran == 0) {
      violation(Rule.ANSWER, now, id + " was fulfilled though no engine ran it");
    }
    forget(id, one);
  }

  /** What a client was given is not what the engine made. */
  public void wrongResult(long now, String id) {
    violation(Rule.ANSWER, now, id + " was given another result than its engine's");
  }

  /** The client went with no answer: if its time was up, one was owed. */
  public void left(long now, String id, boolean timeUp) {
    Case one = cases.get(id);
    if (one == null) {
      return;
    }
    if (timeUp && one.answer == null) {
      violation(Rule.ANSWER, now, id + " was not answered in time");
    }
    one.left = true;
    forget(id, one);
  }

  /** What a gateway held when it was killed is no longer its duty. */
  public void gatewayKilled(int gateway) {
    taken.get(gateway).clear();
    further.get(gateway).clear();
    engines.values().forEach(engine -> engine.withdrawnFor.remove(gateway));
    cases.entrySet().removeIf(entry -> entry.getValue().gateway == gateway);
    lines.values().forEach(line -> line.removeIf(id -> !cases.containsKey(id)));
  }

  private void forget(String id, Case one) {
    if (one.out > 0 || one.answer == null && !one.left) {
      return;
    }
    cases.remove(id);
    ArrayDeque<String> line = one.key == null ? null : lines.get(one.key);
    if (line != null) {
      line.remove(id);
      if (line.isEmpty()) {
        lines.remove(one.key);
      }
    }
  }

  // ---- the list ----

  /** An engine came up; long ago if the time is not above 0. */
  public void engineUp(String engine, int kind, long startedAt) {
    engines.put(engine, new Watched(kind, startedAt));
  }

  /** A gateway was told that an engine drains or is gone. */
  public void withdrawn(long now, int gateway, String engine) {
    Watched watched = engines.get(engine);
    if (watched != null) {
      watched.withdrawnFor.putIfAbsent(gateway, now);
    }
  }

  /** An engine ended for good, and all who should know it were told. */
  public void engineForgotten(String engine) {
    engines.remove(engine);
  }

  // ---- attempts ----

  /** The first byte of an attempt goes out. */
  public void sent(long now, int gateway, String engine, String id) {
    Watched watched = engines.get(engine);
    Case one = cases.get(id);
    if (watched == null || one == null) {
      violation(
          one == null ? Rule.ANSWER : Rule.DRAIN,
          now,
          "a hop of "
              + id
              + " went to "
              + engine
              + (one == null ? " though it was over" : ", which nobody knows"));
      return;
    }
    if (one.answer != null || one.left) {
      violation(Rule.ANSWER, now, "a hop of " + id + " went out after its answer");
    }
    Long since = watched.withdrawnFor.get(gateway);
    if (since != null && now > since + fleet.drainGrace()) {
      violation(
          Rule.DRAIN,
          now,
          id
              + " went from n"
              + gateway
              + " to "
              + engine
              + " "
              + (now - since) / 10
              + " ms after it was told to be draining or gone");
    }
    List<String> kinds = one.requestClass.kinds();
    if (!kinds.isEmpty() && !kinds.contains(fleet.kinds().get(watched.kind).name())) {
      violation(Rule.PLACEMENT, now, id + " of " + one.requestClass.name() + " went to " + engine);
    }
    if (one.requestClass.effect() == Effect.EFFECTFUL && (one.mayHaveRun > 0 || one.out > 0)) {
      violation(Rule.EFFECT, now, id + " went out again though it may have run");
    }
    if (one.requestClass.effect() == Effect.RECEIPTED
        && one.firstRunAt != Long.MIN_VALUE
        && now >= one.firstRunAt + one.requestClass.window()) {
      violation(Rule.EFFECT, now, id + " went out again after engines forgot its mark");
    }
    order(now, id, one);
    attempts++;
    if (one.sent > 0) {
      retries++;
      budget(now, gateway);
    }
    one.sent++;
    one.out++;
    if (one.firstRunAt == Long.MIN_VALUE) {
      one.firstRunAt = now;
    }
  }

  private void order(long now, String id, Case one) {
    ArrayDeque<String> line = one.key == null ? null : lines.get(one.key);
    if (line != null && !id.equals(line.peekFirst())) {
      violation(
          Rule.ORDER,
          now,
          id + " went out before " + line.peekFirst() + " of the same key was over");
    }
  }

  private void budget(long now, int gateway) {
    ArrayDeque<Long> attempts = further.get(gateway);
    attempts.add(now);
    drop(attempts, now);
    drop(taken.get(gateway), now);
    double most = fleet.extraFloor() + fleet.furtherRatio() * taken.get(gateway).size();
    if (attempts.size() > most) {
      violation(
          Rule.BUDGET,
          now,
          "n"
              + gateway
              + " made "
              + attempts.size()
              + " further hops where "
              + Math.floor(most)
              + " were allowed");
    }
  }

  private void drop(ArrayDeque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() <= now - fleet.budgetSpan()) {
      times.pollFirst();
    }
  }

  /** An attempt came whole to an engine that will run it. */
  public void ran(long now, String engine, String id, double work) {
    Case one = cases.get(id);
    if (one != null) {
      one.ran++;
      if (one.requestClass.effect() == Effect.EFFECTFUL && one.ran > 1) {
        violation(Rule.EFFECT, now, id + " ran twice");
      }
    }
    Watched watched = engines.get(engine);
    if (watched != null && fleet.fall() > 0) {
      cold(now, engine, watched, work);
    }
  }

  /** Sent more than a multiple of what a cold engine can do over a whole span, it falls over. */
  private void cold(long now, String engine, Watched watched, double work) {
    long age = now - watched.startedAt;
    if (watched.startedAt <= 0 || age > fleet.warmWithin() + fleet.fall()) {
      watched.sent.clear();
      return;
    }
    double warmth =
        Math.min(1, fleet.startCapacity() + (1 - fleet.startCapacity()) * age / fleet.warmWithin());
    double able =
        warmth * fleet.kinds().get(watched.kind).cores() * fleet.fall() * fleet.fallMultiple();
    watched.sent.add(new double[] {now, work});
    watched.workSent += work;
    while (watched.sent.peekFirst()[0] <= now - fleet.fall()) {
      watched.workSent -= watched.sent.pollFirst()[1];
    }
    watched.maxWork = Math.max(watched.maxWork, watched.workSent / able);
    if (watched.workSent > able && fallen.add(engine)) {
      violation(
          Rule.COLD,
          now,
          engine
              + " was sent "
              + Math.round(watched.workSent / 10)
              + " ms of work within "
              + fleet.fall() / 10
              + " ms, "
              + age / 10
              + " ms after its start");
    }
  }

  /** An attempt ended: known never to have run, or not. */
  public void over(String id, boolean provesNotExecuted) {
    Case one = cases.get(id);
    if (one != null) {
      one.out--;
      one.mayHaveRun += provesNotExecuted ? 0 : 1;
      if (one.out == 0 && one.mayHaveRun == 0) {
        one.firstRunAt = Long.MIN_VALUE;
      }
      forget(id, one);
    }
  }

  // ---- findings ----

  /** How much of what would push it over was sent to a cold engine at the most. */
  public double coldMost() {
    return engines.values().stream().mapToDouble(engine -> engine.maxWork).max().orElse(0);
  }

  public Map<Rule, Long> counts() {
    return counts;
  }

  /** The first of each rule. */
  public List<Violation> violations() {
    return violations;
  }

  public long attempts() {
    return attempts;
  }

  /** Those beyond each request's first. */
  public long retries() {
    return retries;
  }

  /** How many requests it still watches. */
  public int watching() {
    return cases.size();
  }
}
