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
 * Settings of the policy, read once when a gateway starts and immutable from then on. Times are
 * tenths of a millisecond, memory is in megabytes.
 */
final class PolicyConfig {
  /** Resolution of the times in the settings. */
  final long tick;

  /** Number of gateways that share the engines. */
  final int gatewayCount;

  /**
   * Index of this gateway among those that share the engines, from 0; derived from the seed if none
   * is set.
   */
  final int gatewayIndex;

  /** Whether engines can cancel a running attempt. */
  final boolean mayCancel;

  /** Maximum number of attempts of one request, including the first. */
  final long maxAttempts;

  /** Time after which a rejected client is advised to retry; 0 for no advice. */
  final long retryAfter;

  /** Time for which the requests of a key wait after an attempt that may still be running. */
  final long keyCooldown;

  /** Period over which the work sent to a warming engine is limited; 0 disables the limit. */
  final long slowStartPeriod;

  /** Work for each warm core and unit of time that a warming engine can process. */
  final double slowStartMultiple;

  /** Time that an engine takes to warm up. */
  final long warmupTime;

  /** Share of its capacity that an engine has when it starts, 0 to 1. */
  final double startCapacity;

  /** Period of the retry budget; 0 disables the budget. */
  final long retryBudgetPeriod;

  /** Number of retries that are allowed in a period regardless of the number of requests. */
  final double retryBudgetFloor;

  /** Number of retries that are allowed for each request of a period. */
  final double retryBudgetRatio;

  /**
   * Whether the gateway must request a watch of the endpoint list, because lists are not pushed.
   */
  final boolean watchesEndpoints;

  /** Mean pause before a failed watch of the endpoint list is retried. */
  final long watchRetryPause;

  /** Names of the numbers in a load report, by position. */
  final List<String> reportFields;

  /** Period in which engines report the progress of an attempt; 0 if they do not. */
  final long progressPeriod;

  /** Whether attempts are granted memory. */
  final boolean grantsMemory;

  /** Maximum share of an engine's memory that one attempt may be granted. */
  final double maxGrantShare;

  /** Request classes by index. */
  final List<RequestClassConfig> requestClasses;

  /**
   * Smallest latency objective of a request class; {@link Long#MAX_VALUE} without request classes.
   */
  final long minLatencyObjective;

  /** Largest latency objective of a request class, at least 1. */
  final long maxLatencyObjective;

  /** Number of threads of one request of each request class together. */
  final int threadsOfOneRequestPerClass;

  private final List<Double> coresByKind;
  private final List<Double> memoryByKind;

  /**
   * Reads the settings.
   *
   * @param seed the seed of this gateway, from which its index is derived if none is set
   */
  PolicyConfig(Settings settings, long seed) {
    tick = settings.number("tick", 1);
    gatewayCount = (int) Math.max(1, settings.number("instances", 1));
    gatewayIndex = Math.floorMod(settings.number("me", seed), gatewayCount);
    mayCancel = settings.flag("caps.may_cancel");
    maxAttempts = settings.number("caps.max_attempts", 1);
    retryAfter = settings.flag("caps.retry_after") ? settings.number("caps.max_retry_after", 0) : 0;
    keyCooldown = settings.number("guarantees.settle_after_doubt", 0) + tick;
    slowStartPeriod = settings.number("guarantees.fall", 0);
    slowStartMultiple = settings.decimal("guarantees.fall_multiple", 1);
    warmupTime = settings.number("guarantees.warm_within", 0);
    startCapacity = settings.decimal("guarantees.start_capacity", 1);
    retryBudgetPeriod = settings.number("guarantees.budget_span", 0);
    retryBudgetFloor = settings.decimal("guarantees.extra_floor", 0);
    retryBudgetRatio = settings.decimal("guarantees.further_ratio", 0);
    watchesEndpoints = settings.text("discovery").equals("ask");
    reportFields = settings.list("report.fields").stream().map(String::valueOf).toList();
    progressPeriod = settings.number("family_info.tells_every", 0);
    grantsMemory = settings.flag("family_info.grants");
    maxGrantShare = settings.decimal("family_info.max_grant_share", 1);
    coresByKind = decimals(settings, "family_info.kind_cores", 1);
    memoryByKind = decimals(settings, "family_info.size_mb", 0);
    requestClasses = requestClasses(settings);
    minLatencyObjective = latencyObjectives().min().orElse(Long.MAX_VALUE);
    maxLatencyObjective = Math.max(1, latencyObjectives().max().orElse(1));
    threadsOfOneRequestPerClass =
        requestClasses.stream().mapToInt(RequestClassConfig::threadsPerRequest).sum();
    watchRetryPause =
        Math.max(tick, settings.number("guarantees.ask_within", 10 * minLatencyObjective) / 10);
  }

  /** Returns the number of cores of an engine, at least 1. */
  double cores(Engine engine) {
    return Math.max(1, engine.kind < coresByKind.size() ? coresByKind.get(engine.kind) : 1);
  }

  /** Returns the memory of an engine in megabytes, 0 if it is unknown. */
  double memory(Engine engine) {
    return engine.kind < memoryByKind.size() ? memoryByKind.get(engine.kind) : 0;
  }

  private LongStream latencyObjectives() {
    return requestClasses.stream().mapToLong(RequestClassConfig::latencyObjective);
  }

  private static List<Double> decimals(Settings settings, String name, double defaultValue) {
    return IntStream.range(0, settings.list(name).size())
        .mapToObj(index -> settings.numberAt(name, index, defaultValue))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private static List<RequestClassConfig> requestClasses(Settings settings) {
    List<RequestClassConfig> configs = new ArrayList<>();
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      configs.add(requestClass(settings, i));
    }
    return List.copyOf(configs);
  }

  private static RequestClassConfig requestClass(Settings settings, int index) {
    String prefix = "profiles." + index + ".";
    long deadline = settings.number(prefix + "hard_limit", 1);
    return new RequestClassConfig(
        effect(settings.text(prefix + "semantics")),
        deduplicationGroup(settings.text(prefix + "group")),
        settings.number(prefix + "window", 0),
        Math.max(1, settings.number(prefix + "aim", deadline)),
        settings.decimal(prefix + "aim_stretch", 0),
        deadline,
        settings.decimal(prefix + "worth", 1),
        settings.decimal(prefix + "late_worth", 0),
        (int) Math.max(1, settings.numberAt("family_info.width_by_class", index, 1)),
        settings.flagAt("family_info.loads", index),
        settings.flagAt("family_info.waits_for_loads", index),
        settings.flag(prefix + "keep_order"),
        settings.integers(prefix + "zones_open"),
        settings.integers(prefix + "models_allowed"));
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
