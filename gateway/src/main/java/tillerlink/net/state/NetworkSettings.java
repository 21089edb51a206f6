package tillerlink.net.state;

import tillerlink.model.Settings;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.Units;

/**
 * Time-outs and limits of connections, from the configuration. Times are tenths of a millisecond.
 *
 * @param maxConnections to all engines together
 * @param streamsPerConnection attempts that one line-protocol connection carries at once
 * @param connectTimeout how long a connection may take to open, and a silent one to answer
 * @param idleTimeout how long a connection may be idle before it is closed
 * @param drainGrace how long after an engine's drain was published attempts may still be written
 * @param maxWriteDelay how long what must not be written later may wait for a peer that does not
 *     read
 * @param sweepInterval how often connections are checked: an even fraction of half the connect
 *     time-out, for what is checked is due after halves and wholes of it
 */
record NetworkSettings(
    int maxConnections,
    int streamsPerConnection,
    long connectTimeout,
    long idleTimeout,
    long drainGrace,
    long maxWriteDelay,
    long sweepInterval) {
  /** Connections, and the shutdown, are checked this often at least. */
  private static final long MAX_SWEEP_INTERVAL = 125 * Units.TENTHS_PER_MS;

  /** What stands for a deadline that is not set. */
  private static final long DEFAULT_DEADLINE = 10_000 * Units.TENTHS_PER_MS;

  /**
   * @param longestDeadline of all request classes
   */
  static NetworkSettings of(GatewayConfig config, Settings settings, long longestDeadline) {
    long shortest = shortestLatencyObjective(settings);
    long connectTimeout = positiveOr(settings, "caps.connect_timeout", shortest);
    // For engines that close nothing: whoever came before the connection was idle waits no more.
    long idleTimeout = positiveOr(settings, "caps.conn_idle", 2 * longestDeadline) / 2;
    // With no grace, or none set, a drain is obeyed at once; polled is only how old the list is.
    long drainGrace = positiveOr(settings, "guarantees.drain_grace", shortest);
    long half = connectTimeout / 2;
    return new NetworkSettings(
        config.maxConnections(),
        (int) Math.max(1, settings.number("caps.streams_per_conn", 1)),
        connectTimeout,
        idleTimeout,
        drainGrace,
        Math.min(drainGrace, connectTimeout) / 2,
        Math.max(1, half / (1 + (half - 1) / MAX_SWEEP_INTERVAL)));
  }

  private static long positiveOr(Settings settings, String name, long otherwise) {
    long value = settings.number(name, 0);
    return value > 0 ? value : otherwise;
  }

  /** Stands for what the settings leave out: what takes longer earns nothing in full. */
  private static long shortestLatencyObjective(Settings settings) {
    long shortest = Long.MAX_VALUE;
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      String requestClass = "profiles." + i + ".";
      long deadline = positiveOr(settings, requestClass + "hard_limit", DEFAULT_DEADLINE);
      shortest = Math.min(shortest, positiveOr(settings, requestClass + "aim", deadline));
    }
    return Math.min(shortest, DEFAULT_DEADLINE);
  }
}
