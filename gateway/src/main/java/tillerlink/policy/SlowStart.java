package tillerlink.policy;

import tillerlink.model.Engine;

/**
 * Limits the work that is sent to an engine that started recently and is warming up. The work that
 * the engine can process in a period is divided between the gateways. A remainder of less than a
 * whole attempt becomes a slow-start slot that the gateways use in turn. Times are tenths of a
 * millisecond. Used only by the event loop's thread.
 */
final class SlowStart {
  /** Share of the configured limit that is used, for all gateways together. */
  private static final double USED_SHARE = 0.35;

  /**
   * Fractional part of the golden ratio, whose multiples modulo 1 are evenly spread over 0 to 1.
   */
  private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;

  /**
   * Parts of a period by which start times are told apart, so that engines that started in
   * different parts have separate slots.
   */
  private static final double PERIOD_PARTS = 1000;

  private final PolicyConfig config;
  private final long gatewayStartedAt;

  SlowStart(PolicyConfig config, long gatewayStartedAt) {
    this.config = config;
    this.gatewayStartedAt = gatewayStartedAt;
  }

  /**
   * Returns the share of its capacity that an engine certainly has, 0 to 1. The share grows slowly
   * at first, because it is not known how the engine warms up.
   */
  double warmCapacity(long now, Engine engine) {
    long startedAt = startedAt(engine);
    if (startedAt <= 0 || now - startedAt >= config.warmupTime) {
      return 1;
    }
    double progress = Math.max(0, (double) (now - startedAt) / config.warmupTime);
    return config.startCapacity + (1 - config.startCapacity) * progress * progress;
  }

  private static long startedAt(Engine engine) {
    return Math.max(engine.startedAt, engine.restartSeenAt());
  }

  /**
   * Returns whether an engine has quota for an amount of work, and records at the engine whether
   * the work needs a slow-start slot. A warming engine's quota is this gateway's part of what the
   * engine can process in a period, rounded to whole attempts by the slots. A gateway sends nothing
   * to a warming engine in the first period after its own start, since it may have used its part
   * before that. In the first period after the engine's start the quota grows from zero, since the
   * other gateways learn of the engine late.
   */
  boolean hasQuota(long now, Engine engine, double work) {
    double warmCapacity = warmCapacity(now, engine);
    engine.setUsesSlowStartSlot(false);
    if (warmCapacity >= 1 || config.slowStartPeriod <= 0) {
      return true;
    }
    long uptime = now - startedAt(engine);
    double workRate = config.slowStartMultiple * warmCapacity * config.cores(engine);
    double fleetQuota =
        workRate * Math.max(0, Math.min(uptime, config.slowStartPeriod)) * USED_SHARE;
    double remainingQuota = fleetQuota / config.gatewayCount - engine.workSent().upperBound(now);
    engine.setUsesSlowStartSlot(work > remainingQuota);
    return now >= gatewayStartedAt + config.slowStartPeriod
        && work <= fleetQuota
        && roundingThreshold(uptime, now - uptime) * work <= remainingQuota;
  }

  /**
   * Returns the share of an attempt from which on this gateway's part is rounded up, 0 to 1. The
   * thresholds of all gateways lie evenly between 0 and 1, so the sum stays within the limit by
   * construction, where random draws would keep it only on average. The threshold of each gateway
   * moves evenly from period to period.
   */
  private double roundingThreshold(long uptime, long startedAt) {
    double period = (double) config.slowStartPeriod;
    double periodNumber =
        Math.floor(uptime / period + config.gatewayIndex * GOLDEN_RATIO_FRACTION % 1);
    double position =
        (config.gatewayIndex + 0.5) / config.gatewayCount
            + (periodNumber + startedAt / period * PERIOD_PARTS) * GOLDEN_RATIO_FRACTION % 1;
    return 1 - position % 1;
  }

  /** Counts work that is sent to an engine. */
  void recordSent(long now, Engine engine, double work) {
    engine.workSent().add(now, work);
  }
}
