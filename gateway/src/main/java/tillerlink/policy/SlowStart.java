package tillerlink.policy;

import tillerlink.model.Engine;

/**
 * Limits what is sent to an engine that started recently and is warming up. The work that it bears
 * in a period is shared between the gateways; what is left below a whole attempt becomes a
 * slow-start slot that each gateway has in turn. Times are tenths of a millisecond. Used by the
 * event loop alone.
 */
final class SlowStart {
  /** Share of the stated limit that is used, for all gateways together. */
  private static final double USED_SHARE = 0.35;

  /** The golden ratio's fraction: its multiples spread evenly over 0 to 1. */
  private static final double GOLDEN_RATIO = 0.6180339887498949;

  /** Engines that started so many parts of a period apart have slots of their own. */
  private static final double PERIOD_PARTS = 1000;

  private final PolicyConfig config;
  private final long gatewayStartedAt;

  SlowStart(PolicyConfig config, long gatewayStartedAt) {
    this.config = config;
    this.gatewayStartedAt = gatewayStartedAt;
  }

  /**
   * The share of its capacity that an engine surely has, 0 to 1; how it warms up is not known, so
   * slowly at first.
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
   * Whether an engine has quota for some work: if it is warming up, this gateway's part of what it
   * bears in a period, rounded to whole attempts by its slots. A gateway that just started may have
   * used the part before; in the first period the sum grows from nothing, since the other gateways
   * learn of the engine late. Notes at the engine whether the work needs a slot.
   */
  boolean hasQuota(long now, Engine engine, double work) {
    double warm = warmCapacity(now, engine);
    engine.setUsesSlowStartSlot(false);
    if (warm >= 1 || config.slowStartPeriod <= 0) {
      return true;
    }
    long uptime = now - startedAt(engine);
    double rate = config.slowStartMultiple * warm * config.cores(engine);
    double all = rate * Math.max(0, Math.min(uptime, config.slowStartPeriod)) * USED_SHARE;
    double left = all / config.gateways - engine.workSent().upperBound(now);
    engine.setUsesSlowStartSlot(work > left);
    return now >= gatewayStartedAt + config.slowStartPeriod
        && work <= all
        && roundingThreshold(uptime, now - uptime) * work <= left;
  }

  /**
   * From this share of an attempt on, the gateway's part is rounded up. The thresholds of all
   * gateways lie evenly between 0 and 1, so the sum keeps by construction what random draws would
   * keep on average; that of each gateway moves evenly from period to period.
   */
  private double roundingThreshold(long uptime, long startedAt) {
    double period = (double) config.slowStartPeriod;
    double periods = Math.floor(uptime / period + config.gatewayIndex * GOLDEN_RATIO % 1);
    double position =
        (config.gatewayIndex + 0.5) / config.gateways
            + (periods + startedAt / period * PERIOD_PARTS) * GOLDEN_RATIO % 1;
    return 1 - position % 1;
  }

  /** Counts work that is sent to an engine. */
  void recordSent(long now, Engine engine, double work) {
    engine.workSent().add(now, work);
  }
}
