package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
 * A door for tests: plays events to one module and prints what it orders, a line each. Times are
 * milliseconds.
 */
final class Trace implements DispatchActions {
  /**
   * The form in which all stories are played: so many times the times and values, and other names
   * or not.
   */
  static int scale = 1;

  static boolean renamed;

  private static final String TIMES =
      "tick|.*[.](max_retry_after|drain_grace|fall|warm_within|settle_after_doubt"
          + "|budget_span|ask_within|tells_every|aim|hard_limit|window)";
  private static final int OTHER_ZONES = 5;

  private final int tenths = 10 * scale;
  private final long start = 1_000_000L * scale;
  private final Map<String, Object> settings = new LinkedHashMap<>();
  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final Map<String, Request> requests = new LinkedHashMap<>();
  private final Map<String, KeyedRequestQueue> lines = new LinkedHashMap<>();
  private final StringBuilder printed = new StringBuilder();
  private DefaultDispatchPolicy policy;
  private long seed = 7;
  private long now = start;
  private long patience = 50000L * scale;
  private long wakeAt = Long.MAX_VALUE;

  /**
   * Two gateways, 8-core engines, one pure request class of width 1 unless changed; times are
   * tenths.
   */
  Trace() {
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

  Trace set(Object... namesAndValues) {
    for (int i = 0; i < namesAndValues.length; i += 2) {
      settings.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return this;
  }

  /** Adds a request class: latency objective 1 s, deadline 5 s, value 1. */
  Trace requestClass(String semantics, Object... more) {
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

  Trace seed(long other) {
    seed = other;
    return this;
  }

  /** How many attempts were sent so far. */
  long sends() {
    return printed.toString().lines().filter(line -> line.contains("  send ")).count();
  }

  long sendsTo(String engine) {
    return printed
        .toString()
        .lines()
        .filter(line -> line.contains("  send ") && line.contains("-> " + engine))
        .count();
  }

  Trace up(String... ready) {
    policy = new DefaultDispatchPolicy(now, seed, renamed ? otherwise() : scaled(), this);
    for (String name : ready) {
      list(name, Status.READY, 0);
    }
    return this;
  }

  private Map<String, Object> scaled() {
    Map<String, Object> all = new LinkedHashMap<>(settings);
    all.replaceAll(
        (name, value) ->
            name.matches(TIMES)
                ? (Object) ((Long) value * scale)
                : name.endsWith(".worth") ? (Object) ((Double) value * scale) : value);
    return all;
  }

  /**
   * The same under other names: these are places in lists. In another order, and with more that
   * nobody knows.
   */
  private Map<String, Object> otherwise() {
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
    scaled().entrySet().stream()
        .sorted(Map.Entry.<String, Object>comparingByKey().reversed())
        .forEach(one -> all.put(one.getKey(), one.getValue()));
    all.computeIfPresent(
        "family_info.kind_cores",
        (name, cores) -> List.of(((List<?>) cores).get(1), ((List<?>) cores).get(0)));
    all.replaceAll(
        (name, value) ->
            name.endsWith(".zones_open")
                ? places(value, zone -> zone + OTHER_ZONES)
                : name.endsWith(".models_allowed") ? places(value, kind -> 1 - kind) : value);
    return all;
  }

  private static List<Integer> places(Object list, UnaryOperator<Integer> other) {
    return ((List<?>) list).stream().map(place -> other.apply((Integer) place)).toList();
  }

  /**
   * An engine's zone is the digit at the end of its name; names that begin with "big" are of kind
   * 1.
   */
  Trace list(String name, Status standing, long startedAgo) {
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
                renamed ? zone + OTHER_ZONES : zone,
                0,
                1,
                standing,
                startedAgo == 0 ? 0 : now - startedAgo * tenths)));
    return settle();
  }

  /** How long clients wait from now on. */
  Trace patience(long ms) {
    patience = ms * tenths;
    return this;
  }

  Trace listFails() {
    policy.onEndpointPollFailed(now);
    return settle();
  }

  Trace arrive(String id, int requestClass, double workMs) {
    return arrive(id, requestClass, workMs, 0, null);
  }

  Trace arrive(String id, int requestClass, double workMs, int tableGroup, String key) {
    KeyedRequestQueue line =
        key == null ? null : lines.computeIfAbsent(key, k -> new KeyedRequestQueue());
    Request s =
        new Request(
            id, requestClass, tableGroup, false, now, now + patience, workMs * tenths, 0, line);
    requests.put(id, s);
    policy.onRequestArrived(now, s);
    return settle();
  }

  /** The newest attempt of a request ends, at times with a load report. */
  Trace end(String id, AttemptOutcome outcome, double... report) {
    Request s = requests.get(id);
    Attempt attempt = s.attempts.get(s.attempts.size() - 1);
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
    return settle();
  }

  /** Attempt by attempt, until it is over: one engine errs, the others fulfil. */
  Trace endAll(String id, String erring) {
    Request s = requests.get(id);
    while (s.attemptsInFlight > 0) {
      end(
          id,
          s.attempts.get(s.attempts.size() - 1).engine.tag.equals(erring)
              ? AttemptOutcome.FAILED
              : AttemptOutcome.SUCCEEDED);
    }
    return this;
  }

  Trace note(String id, double share) {
    Request s = requests.get(id);
    policy.onAttemptProgress(
        now, s.attempts.get(s.attempts.size() - 1), AttemptProgress.PROGRESS, share);
    return settle();
  }

  /** Lets time pass, waking the module when it asked for it. */
  Trace pass(long ms) {
    long until = now + ms * tenths;
    while (wakeAt <= until) {
      now = Math.max(now, wakeAt);
      wakeAt = Long.MAX_VALUE;
      policy.onWakeup(now);
      settle();
    }
    now = until;
    return this;
  }

  /** The gateway stands still: time passes and nothing wakes the module. */
  Trace stall(long ms) {
    now += ms * tenths;
    return this;
  }

  Trace say(String comment) {
    printed.append("# ").append(comment).append('\n');
    return this;
  }

  /** Compares with the kept trace. */
  void matches(String kept) {
    same(kept, printed.toString());
  }

  /**
   * Compares any print with a kept trace; with {@code -Dkeep=folder} writes it there for people to
   * read and keep.
   */
  static void same(String kept, String printed) {
    String folder = System.getProperty("keep");
    try (InputStream in = Trace.class.getResourceAsStream("/traces/" + kept + ".txt")) {
      String wanted =
          in == null ? "(no kept trace)" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
      if (folder != null) {
        Files.writeString(Path.of(folder, kept + ".txt"), printed);
      }
      assertEquals(wanted, printed);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Trace settle() {
    policy.applyDecisions(now);
    return this;
  }

  private void print(String line) {
    long ms = (now - start) / tenths;
    printed.append(String.format("%5d  %s%n", ms, line));
  }

  @Override
  public void updatePriorityAndGrant(Request s, int rank, long grant) {
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
  public void rejectRequest(Request s, long retryAfter) {
    print("turn back " + s.tag + ", come back in " + retryAfter / tenths);
  }

  @Override
  public void failRequest(Request s) {
    print("break off " + s.tag);
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
