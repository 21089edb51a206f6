package tillerlink;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Request;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchActions;

/**
 * Plays events to one policy and prints its actions, a line each, in the words of the kept traces.
 * Times are milliseconds unless said otherwise.
 */
final class PolicyTrace implements DispatchActions {
  /**
   * The form in which all scenarios are played: the factor of all times and weights, and whether
   * under other names.
   */
  static int scale = 1;

  static boolean renamed;

  private static final String TIME_SETTINGS =
      "tick|.*[.](max_retry_after|drain_grace|fall|warm_within|settle_after_doubt"
          + "|budget_span|ask_within|tells_every|aim|hard_limit|window)";
  private static final int ZONE_OFFSET = 5;

  private final int tenthsPerMs = 10 * scale;
  private final long startTime = 1_000_000L * scale;
  private final Map<String, Object> settings = new LinkedHashMap<>();
  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final Map<String, Request> requests = new LinkedHashMap<>();
  private final Map<String, KeyedRequestQueue> keyQueues = new LinkedHashMap<>();
  private final StringBuilder printed = new StringBuilder();
  private DefaultDispatchPolicy policy;
  private long seed = 7;
  private long now = startTime;
  private long clientTimeout = 50000L * scale;
  private long wakeAt = Long.MAX_VALUE;

  /**
   * Two gateways, 8-core engines, one pure request class of width 1 unless changed; times are
   * tenths.
   */
  PolicyTrace() {
    set(
        "instances",
        2L,
        "tick",
        50L,
        "caps.max_attempts",
        4L,
        "caps.may_cancel",
        true,
        "caps.retry_after",
        true,
        "caps.max_retry_after",
        5000L,
        "guarantees.drain_grace",
        5000L,
        "guarantees.fall_multiple",
        2.5,
        "guarantees.fall",
        15000L,
        "guarantees.start_capacity",
        0.3,
        "guarantees.warm_within",
        100000L,
        "family_info.kind_cores",
        List.of(8, 16),
        "profiles",
        0L);
    requestClass("repeatable");
  }

  PolicyTrace set(Object... namesAndValues) {
    for (int i = 0; i < namesAndValues.length; i += 2) {
      settings.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return this;
  }

  /** Adds a request class: latency objective 1 s, deadline 5 s, value 1. */
  PolicyTrace requestClass(String semantics, Object... more) {
    long place = (Long) settings.get("profiles");
    String at = "profiles." + place + ".";
    set(
        "profiles",
        place + 1,
        at + "semantics",
        semantics,
        at + "group",
        "all",
        at + "aim",
        10000L,
        at + "hard_limit",
        50000L,
        at + "worth",
        1.0,
        at + "window",
        20000L);
    for (int i = 0; i < more.length; i += 2) {
      set(at + more[i], more[i + 1]);
    }
    return this;
  }

  PolicyTrace seed(long other) {
    seed = other;
    return this;
  }

  /** How many attempts were sent so far. */
  long attemptsSent() {
    return printed.toString().lines().filter(line -> line.contains("  send ")).count();
  }

  long attemptsSentTo(String engine) {
    return printed
        .toString()
        .lines()
        .filter(line -> line.contains("  send ") && line.contains("-> " + engine))
        .count();
  }

  PolicyTrace start(String... ready) {
    policy =
        new DefaultDispatchPolicy(now, seed, renamed ? renamedSettings() : scaledSettings(), this);
    for (String name : ready) {
      endpointChanged(name, Status.READY, 0);
    }
    return this;
  }

  private Map<String, Object> scaledSettings() {
    Map<String, Object> all = new LinkedHashMap<>(settings);
    all.replaceAll(
        (name, value) ->
            name.matches(TIME_SETTINGS)
                ? (Object) ((Long) value * scale)
                : name.endsWith(".worth") ? (Object) ((Double) value * scale) : value);
    return all;
  }

  /**
   * The same under other names: these are places in lists. In another order, and with more that
   * nobody knows.
   */
  private Map<String, Object> renamedSettings() {
    Map<String, Object> all =
        new LinkedHashMap<>(
            Map.of(
                "caps.new_key",
                30_000_000L,
                "unheard_of",
                "x",
                "models",
                List.of("k-b", "k-a"),
                "profiles.0.name",
                "a name",
                "profiles.0.new_key",
                List.of(1, 2)));
    scaledSettings().entrySet().stream()
        .sorted(Map.Entry.<String, Object>comparingByKey().reversed())
        .forEach(one -> all.put(one.getKey(), one.getValue()));
    all.computeIfPresent(
        "family_info.kind_cores",
        (name, cores) -> List.of(((List<?>) cores).get(1), ((List<?>) cores).get(0)));
    all.replaceAll(
        (name, value) ->
            name.endsWith(".zones_open")
                ? mapIndices(value, zone -> zone + ZONE_OFFSET)
                : name.endsWith(".models_allowed") ? mapIndices(value, kind -> 1 - kind) : value);
    return all;
  }

  private static List<Integer> mapIndices(Object list, UnaryOperator<Integer> other) {
    return ((List<?>) list).stream().map(place -> other.apply((Integer) place)).toList();
  }

  /**
   * An engine's zone is the digit at the end of its name; names that begin with "big" are of kind
   * 1.
   */
  PolicyTrace endpointChanged(String name, Status standing, long startedAgo) {
    Engine engine = engines.computeIfAbsent(name, Engine::new);
    int kind = name.startsWith("big") ? 1 : 0;
    int zone = name.charAt(name.length() - 1) - '0';
    policy.onEndpointsChanged(
        now,
        false,
        List.of(
            new EndpointUpdate(
                engine,
                renamed ? 1 - kind : kind,
                renamed ? zone + ZONE_OFFSET : zone,
                0,
                1,
                standing,
                startedAgo == 0 ? 0 : now - startedAgo * tenthsPerMs)));
    return applyDecisions();
  }

  /** How long clients wait from now on. */
  PolicyTrace clientTimeout(long ms) {
    clientTimeout = ms * tenthsPerMs;
    return this;
  }

  PolicyTrace endpointPollFails() {
    policy.onEndpointPollFailed(now);
    return applyDecisions();
  }

  PolicyTrace arrive(String id, int requestClass, double workMs) {
    return arrive(id, requestClass, workMs, 0, null);
  }

  PolicyTrace arrive(String id, int requestClass, double workMs, int tableGroup, String key) {
    KeyedRequestQueue keyQueue =
        key == null ? null : keyQueues.computeIfAbsent(key, name -> new KeyedRequestQueue());
    Request request =
        new Request(
            id,
            requestClass,
            tableGroup,
            false,
            now,
            now + clientTimeout,
            workMs * tenthsPerMs,
            0,
            keyQueue);
    requests.put(id, request);
    policy.onRequestArrived(now, request);
    return applyDecisions();
  }

  /** The newest attempt of a request ends, at times with a load report. */
  PolicyTrace end(String id, AttemptOutcome outcome, double... report) {
    Request request = requests.get(id);
    Attempt attempt = request.attempts.get(request.attempts.size() - 1);
    print(id + " " + outcome + " at " + attempt.engine.tag);
    policy.onAttemptEnded(
        now,
        attempt,
        outcome,
        now - attempt.sentAt,
        outcome == AttemptOutcome.SUCCEEDED,
        0,
        0,
        report.length == 0 ? null : report);
    return applyDecisions();
  }

  /** Attempt by attempt, until it is over: one engine errs, the others fulfil. */
  PolicyTrace endAll(String id, String erring) {
    Request request = requests.get(id);
    while (request.attemptsInFlight > 0) {
      end(
          id,
          request.attempts.get(request.attempts.size() - 1).engine.tag.equals(erring)
              ? AttemptOutcome.FAILED
              : AttemptOutcome.SUCCEEDED);
    }
    return this;
  }

  PolicyTrace reportProgress(String id, double share) {
    Request request = requests.get(id);
    policy.onAttemptProgress(
        now, request.attempts.get(request.attempts.size() - 1), AttemptProgress.PROGRESS, share);
    return applyDecisions();
  }

  /** Lets time pass, waking the policy when it asked for it. */
  PolicyTrace advance(long ms) {
    long until = now + ms * tenthsPerMs;
    while (wakeAt <= until) {
      now = Math.max(now, wakeAt);
      wakeAt = Long.MAX_VALUE;
      policy.onWakeup(now);
      applyDecisions();
    }
    now = until;
    return this;
  }

  /** The gateway stands still: time passes and nothing wakes the policy. */
  PolicyTrace pauseGateway(long ms) {
    now += ms * tenthsPerMs;
    return this;
  }

  PolicyTrace comment(String comment) {
    printed.append("# ").append(comment).append('\n');
    return this;
  }

  /** Compares with the kept trace. */
  void assertMatches(String kept) {
    KeptTraces.assertMatches(kept, printed.toString());
  }

  private PolicyTrace applyDecisions() {
    policy.applyDecisions(now);
    return this;
  }

  private void print(String line) {
    long ms = (now - startTime) / tenthsPerMs;
    printed.append(String.format("%5d  %s%n", ms, line));
  }

  @Override
  public void updatePriorityAndGrant(Request request, int priority, long grant) {
    // Ranks and grants are left out of the traces.
  }

  @Override
  public void sendAttempt(Attempt attempt) {
    print(
        "send "
            + attempt.request.tag
            + " -> "
            + attempt.engine.tag
            + (attempt.healthCheck ? " (trial)" : ""));
  }

  @Override
  public void cancelAttempt(Attempt attempt) {
    print("call off " + attempt.request.tag + " at " + attempt.engine.tag);
  }

  @Override
  public void rejectRequest(Request request, long retryAfter) {
    print("turn back " + request.tag + ", come back in " + retryAfter / tenthsPerMs);
  }

  @Override
  public void failRequest(Request request) {
    print("break off " + request.tag);
  }

  @Override
  public void scheduleWakeup(long at) {
    wakeAt = Math.min(wakeAt, at);
  }

  @Override
  public void watchEndpoints() {
    print("follow the list");
  }

  @Override
  public void log(String line) {
    print("log " + line);
  }
}
