package tillerlink.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import tillerlink.model.DeduplicationGroup;
import tillerlink.model.Effect;
import tillerlink.model.Engine;
import tillerlink.model.RequestClassConfig;
import tillerlink.model.Settings;

/**
 * The settings that the decisions depend on, read once when a gateway starts and immutable after
 * that. Times are tenths of a millisecond, memory is megabytes.
 */
final class PolicyConfig {
  /** Resolution of the times of the settings. */
  final long tick;

  /** Gateways that share the engines. */
  final int gateways;

  /** The position of this gateway among them, from 0; derived from the seed if none is set. */
  final int gatewayIndex;

  /** Whether engines can cancel a running attempt. */
  final boolean mayCancel;

  /** Attempts of one request, the first included. */
  final long maxAttempts;

  /** How long a rejected client is asked to stay away; 0 gives no advice. */
  final long retryAfter;

  /** How long the requests of a key wait after an attempt that may still be running. */
  final long keyCooldown;

  /** Period over which the work sent to a warming engine is limited; 0 turns the limit off. */
  final long slowStartPeriod;

  /** Work for each warm core and unit of time that a warming engine bears. */
  final double slowStartMultiple;

  /** Time that an engine takes to warm up. */
  final long warmupTime;

  /** Share of its capacity that an engine has when it starts. */
  final double startCapacity;

  /** Period of the retry budget; 0 turns the budget off. */
  final long retryBudgetPeriod;

  /** Retries that are allowed in a period whatever the number of requests. */
  final double retryBudgetFloor;

  /** Retries that are allowed for each request of a period. */
  final double retryBudgetRatio;

  /** Whether the endpoint list has to be asked for. */
  final boolean watchesEndpoints;

  /** Mean pause before a failed watch of the endpoint list is started again. */
  final long watchRetryPause;

  /** Meaning of the numbers of a load report, by position. */
  final List<String> reportFields;

  /** Period in which engines report the progress of an attempt; 0 if they don't. */
  final long progressPeriod;

  /** Whether memory is granted to an attempt. */
  final boolean grantsMemory;

  /** Share of the memory of an engine that one attempt may be granted at most. */
  final double maxGrantShare;

  /** The request classes, by index. */
  final List<RequestClassConfig> requestClasses;

  /** The smallest and the largest latency objective of a request class. */
  final long minLatencyObjective;

  final long maxLatencyObjective;

  /** Threads of one request of each request class together. */
  final int threadsOfOneRequestEach;

  private final List<Double> coresByKind;
  private final List<Double> memoryByKind;

  /**
   * Reads the settings.
   *
   * @param seed the seed of this gateway, from which its index is taken if none is set
   */
  PolicyConfig(Settings settings, long seed) {
    tick = settings.number("tick", 1);
    gateways = (int) Math.max(1, settings.number("instances", 1));
    gatewayIndex = Math.floorMod(settings.number("me", seed), gateways);
    mayCancel = settings.flag("caps.may_cancel");
    maxAttempts = settings.number("caps.max_attempts", 1);
    retryAfter = settings.flag("caps.retry_after") ? settings.number("caps.max_retry_after", 0) : 0;
    keyCooldown = settings.number("guarantees.settle_after_doubt", 0) + tick;
    slowStartPeriod = settings.number("guarantees.fall", 0);
    slowStartMultiple = settings.amount("guarantees.fall_multiple", 1);
    warmupTime = settings.number("guarantees.warm_within", 0);
    startCapacity = settings.amount("guarantees.start_capacity", 1);
    retryBudgetPeriod = settings.number("guarantees.budget_span", 0);
    retryBudgetFloor = settings.amount("guarantees.extra_floor", 0);
    retryBudgetRatio = settings.amount("guarantees.further_ratio", 0);
    watchesEndpoints = settings.text("discovery").equals("ask");
    reportFields = settings.list("report.fields").stream().map(String::valueOf).toList();
    progressPeriod = settings.number("family_info.tells_every", 0);
    grantsMemory = settings.flag("family_info.grants");
    maxGrantShare = settings.amount("family_info.max_grant_share", 1);
    coresByKind = amounts(settings, "family_info.kind_cores", 1);
    memoryByKind = amounts(settings, "family_info.size_mb", 0);
    requestClasses = requestClasses(settings);
    minLatencyObjective = latencyObjectives().min().orElse(Long.MAX_VALUE);
    maxLatencyObjective = Math.max(1, latencyObjectives().max().orElse(1));
    threadsOfOneRequestEach =
        requestClasses.stream().mapToInt(RequestClassConfig::threadsPerRequest).sum();
    watchRetryPause =
        Math.max(tick, settings.number("guarantees.ask_within", 10 * minLatencyObjective) / 10);
  }

  /** Cores of an engine, one at least. */
  double cores(Engine engine) {
    return Math.max(1, engine.kind < coresByKind.size() ? coresByKind.get(engine.kind) : 1);
  }

  /** Memory of an engine in megabytes, 0 if it is not known. */
  double memory(Engine engine) {
    return engine.kind < memoryByKind.size() ? memoryByKind.get(engine.kind) : 0;
  }

  private LongStream latencyObjectives() {
    return requestClasses.stream().mapToLong(RequestClassConfig::latencyObjective);
  }

  private static List<Double> amounts(Settings settings, String name, double otherwise) {
    return IntStream.range(0, settings.list(name).size())
        .mapToObj(index -> settings.nth(name, index, otherwise))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private static List<RequestClassConfig> requestClasses(Settings settings) {
    List<RequestClassConfig> read = new ArrayList<>();
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      read.add(requestClass(settings, i));
    }
    return List.copyOf(read);
  }

  private static RequestClassConfig requestClass(Settings settings, int index) {
    String at = "profiles." + index + ".";
    long deadline = settings.number(at + "hard_limit", 1);
    return new RequestClassConfig(
        effect(settings.text(at + "semantics")),
        deduplicationGroup(settings.text(at + "group")),
        settings.number(at + "window", 0),
        Math.max(1, settings.number(at + "aim", deadline)),
        settings.amount(at + "aim_stretch", 0),
        deadline,
        settings.amount(at + "worth", 1),
        settings.amount(at + "late_worth", 0),
        (int) Math.max(1, settings.nth("family_info.width_by_class", index, 1)),
        settings.nthFlag("family_info.loads", index),
        settings.nthFlag("family_info.waits_for_loads", index),
        settings.flag(at + "keep_order"),
        settings.numbers(at + "zones_open"),
        settings.numbers(at + "models_allowed"));
  }

  private static Effect effect(String semantics) {
    return switch (semantics) {
      case "repeatable" -> Effect.PURE;
      case "by_key" -> Effect.RECEIPTED;
      default -> Effect.EFFECTFUL;
    };
  }

  private static DeduplicationGroup deduplicationGroup(String group) {
    return switch (group) {
      case "all" -> DeduplicationGroup.ALL;
      case "zone" -> DeduplicationGroup.ZONE;
      default -> DeduplicationGroup.CELL;
    };
  }
}
