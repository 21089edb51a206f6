package tillerlink.telemetry;

/** The counters and the event log of one gateway. */
public record Telemetry(Metrics metrics, EventLog log) {
  /** Counts and logs. */
  public static Telemetry logging() {
    return new Telemetry(new Metrics(), new EventLog(true));
  }

  /** Counts and writes no line, for gateways that are only simulated. */
  public static Telemetry silent() {
    return new Telemetry(new Metrics(), new EventLog(false));
  }
}
