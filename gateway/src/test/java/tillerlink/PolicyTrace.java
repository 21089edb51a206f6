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
 * Passes the events of a scenario to one policy and prints its actions, one per line, in the format
 * of the kept traces. Times are milliseconds unless stated otherwise.
 */
final class PolicyTrace implements DispatchActions {
  /** The factor by which all times, works and priority weights of the scenarios are multiplied. */
  static int scale = 1;

  /** Whether the scenarios use other names and indices for zones, engine kinds and settings. */
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
   * Creates a scenario with two gateways, 8-core engines, and one request class without effect that
   * uses one thread per request. Times in settings are tenths of a millisecond.
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

  /**
   * Adds a request class with a latency objective of 1 s, a deadline of 5 s and a priority weight
   * of 1.
   *
   * @param semantics the effect of a second execution, as in the settings
   * @param moreSettings alternating names and values of further settings of the class
   */
  PolicyTrace requestClass(String semantics, Object... moreSettings) {
    long index = (Long) settings.get("profiles");
    String prefix = "profiles." + index + ".";
    set(
        "profiles",
        index + 1,
        prefix + "semantics",
        semantics,
        prefix + "group",
        "all",
        prefix + "aim",
        10000L,
        prefix + "hard_limit",
        50000L,
        prefix + "worth",
        1.0,
        prefix + "window",
        20000L);
    for (int i = 0; i < moreSettings.length; i += 2) {
      set(prefix + moreSettings[i], moreSettings[i + 1]);
    }
    return this;
  }

  PolicyTrace seed(long newSeed) {
    seed = newSeed;
    return this;
  }

  /** Returns the number of attempts sent so far. */
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
   * Returns the same settings under other names, which are indices into lists, in another order,
   * and with additional settings that the policy does not know.
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
        .forEach(entry -> all.put(entry.getKey(), entry.getValue()));
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

  private static List<Integer> mapIndices(Object list, UnaryOperator<Integer> mapping) {
    return ((List<?>) list).stream().map(index -> mapping.apply((Integer) index)).toList();
  }

  /**
   * Adds or changes an engine on the endpoint list. Its zone is the digit at the end of its name;
   * an engine whose name starts with "big" is of kind 1, any other of kind 0.
   *
   * @param startedAgo the time since the start of the engine's process, in milliseconds; 0 if it
   *     started long ago
   */
  PolicyTrace endpointChanged(String name, Status status, long startedAgo) {
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
                status,
                startedAgo == 0 ? 0 : now - startedAgo * tenthsPerMs)));
    return applyDecisions();
  }

  /** Sets the time that the clients of later requests wait. */
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

  /** Ends the newest attempt of a request, with a load report if one is given. */
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

  /**
   * Ends the attempts of a request one after another until none is in flight: attempts on one
   * engine fail, the others succeed.
   */
  PolicyTrace endAll(String id, String failingEngine) {
    Request request = requests.get(id);
    while (request.attemptsInFlight > 0) {
      end(
          id,
          request.attempts.get(request.attempts.size() - 1).engine.tag.equals(failingEngine)
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

  /** Advances the time and calls the policy at each wakeup that it scheduled. */
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

  /** Pauses the gateway: advances the time without calling the policy. */
  PolicyTrace pauseGateway(long ms) {
    now += ms * tenthsPerMs;
    return this;
  }

  PolicyTrace comment(String comment) {
    printed.append("# ").append(comment).append('\n');
    return this;
  }

  /** Compares the printed actions with a kept trace. */
  void assertMatches(String traceName) {
    KeptTraces.assertMatches(traceName, printed.toString());
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
    // Priorities and grants are not part of the traces.
  }

  @Override
  public void sendAttempt(Attempt attempt) {
    print(
        "send "
            + attempt.request.tag
            + " -> "
            + attempt.engine.tag
            + (attempt.healthCheck ? " (health check)" : ""));
  }

  @Override
  public void cancelAttempt(Attempt attempt) {
    print("cancel " + attempt.request.tag + " at " + attempt.engine.tag);
  }

  @Override
  public void rejectRequest(Request request, long retryAfter) {
    print("reject " + request.tag + ", retry after " + retryAfter / tenthsPerMs);
  }

  @Override
  public void failRequest(Request request) {
    print("fail " + request.tag);
  }

  @Override
  public void scheduleWakeup(long at) {
    wakeAt = Math.min(wakeAt, at);
  }

  @Override
  public void watchEndpoints() {
    print("watch endpoints");
  }

  @Override
  public void log(String line) {
    print("log " + line);
  }
}
