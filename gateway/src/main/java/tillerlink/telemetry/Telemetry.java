package tillerlink.telemetry;

/**
 * The telemetry of one gateway.
 *
 * @param metrics the counters and gauges
 * @param log the event log
 */
public record Telemetry(Metrics metrics, EventLog log) {
  /** Returns telemetry that counts and writes log lines. */
  public static Telemetry logging() {
    return new Telemetry(new Metrics(), new EventLog(true));
  }

  /** Returns telemetry that counts but writes no log lines, for simulated gateways. */
  public static Telemetry silent() {
    return new Telemetry(new Metrics(), new EventLog(false));
  }
}
