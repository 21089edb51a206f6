package tillerlink.net.state;

import tillerlink.model.Settings;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.Units;

/**
 * Time-outs and limits of connections, from the configuration. Times are tenths of a millisecond.
 *
 * @param maxConnections the limit on connections to all engines together
 * @param streamsPerConnection how many attempts one line-protocol connection carries at once
 * @param connectTimeout how long a connection may take to open, and a silent one to answer
 * @param idleTimeout how long a connection may be idle before it is closed
 * @param drainGrace how long after an engine's drain was published attempts may still be written
 * @param maxWriteDelay how long an attempt that must not be written late may wait for a peer that
 *     does not read
 * @param sweepInterval the interval between checks of the connections; half the connect time-out is
 *     a multiple of it, because the checked time-outs end after one or two halves of the connect
 *     time-out
 */
record NetworkSettings(
    int maxConnections,
    int streamsPerConnection,
    long connectTimeout,
    long idleTimeout,
    long drainGrace,
    long maxWriteDelay,
    long sweepInterval) {
  /** The longest interval between checks of the connections and of a shutdown. */
  private static final long MAX_SWEEP_INTERVAL = 125 * Units.TENTHS_PER_MS;

  /** The deadline of a request class whose settings contain none. */
  private static final long DEFAULT_DEADLINE = 10_000 * Units.TENTHS_PER_MS;

  /**
   * Returns the time-outs and limits from the configuration and the settings.
   *
   * @param longestDeadline the longest deadline of all request classes, in tenths of a millisecond
   */
  static NetworkSettings of(GatewayConfig config, Settings settings, long longestDeadline) {
    long shortestObjective = shortestLatencyObjective(settings);
    long connectTimeout = positiveOr(settings, "caps.connect_timeout", shortestObjective);
    // Half of the time after which engines close idle connections. The default, for engines that
    // never close one, is the longest deadline: no client that arrived before the connection became
    // idle is still waiting by then.
    long idleTimeout = positiveOr(settings, "caps.conn_idle", 2 * longestDeadline) / 2;
    // If the grace is 0 or not set, a drain is obeyed at once, and this value only sets how often
    // the age of the endpoint list is polled.
    long drainGrace = positiveOr(settings, "guarantees.drain_grace", shortestObjective);
    long halfTimeout = connectTimeout / 2;
    return new NetworkSettings(
        config.maxConnections(),
        (int) Math.max(1, settings.number("caps.streams_per_conn", 1)),
        connectTimeout,
        idleTimeout,
        drainGrace,
        Math.min(drainGrace, connectTimeout) / 2,
        Math.max(1, halfTimeout / (1 + (halfTimeout - 1) / MAX_SWEEP_INTERVAL)));
  }

  /** Returns a number from the settings, or the default if it is missing or not positive. */
  private static long positiveOr(Settings settings, String name, long defaultValue) {
    long value = settings.number(name, 0);
    return value > 0 ? value : defaultValue;
  }

  /**
   * Returns the shortest latency objective of all request classes, in tenths of a millisecond. It
   * is the default for time-outs that the settings leave out, because a response that takes longer
   * does not earn the full value of its request.
   */
  private static long shortestLatencyObjective(Settings settings) {
    long shortestObjective = Long.MAX_VALUE;
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      String keyPrefix = "profiles." + i + ".";
      long deadline = positiveOr(settings, keyPrefix + "hard_limit", DEFAULT_DEADLINE);
      shortestObjective =
          Math.min(shortestObjective, positiveOr(settings, keyPrefix + "aim", deadline));
    }
    return Math.min(shortestObjective, DEFAULT_DEADLINE);
  }
}
