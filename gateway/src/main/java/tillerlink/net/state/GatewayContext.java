package tillerlink.net.state;

import tillerlink.model.Settings;
import tillerlink.policy.InvariantMonitor;
import tillerlink.telemetry.Telemetry;

/**
 * What the parts of one gateway share: the time of the iteration, the network, the way to the
 * policy, and what is counted and logged. Owned by the event-loop thread.
 *
 * @param monitor the checks themselves, for what is not reported through {@code invariants}
 */
record GatewayContext(
    IterationContext iteration,
    NetworkDriver driver,
    PauseDetector pauses,
    EndpointListStatus listStatus,
    InvariantMonitor monitor,
    InvariantReporter invariants,
    PolicyEvents policyEvents,
    DispatchLog dispatchLog,
    RateLimitedWarning warnings,
    Telemetry telemetry) {

  /**
   * @param now when the gateway starts, in tenths of a millisecond
   */
  static GatewayContext create(
      NetworkDriver driver, long now, Settings settings, Telemetry telemetry) {
    IterationContext iteration = new IterationContext(now);
    PauseDetector pauses = new PauseDetector(telemetry);
    EndpointListStatus listStatus = new EndpointListStatus();
    InvariantMonitor monitor = new InvariantMonitor(settings);
    InvariantReporter invariants =
        new InvariantReporter(iteration, monitor, pauses, listStatus, telemetry);
    return new GatewayContext(
        iteration,
        driver,
        pauses,
        listStatus,
        monitor,
        invariants,
        new PolicyEvents(iteration, invariants, telemetry),
        new DispatchLog(iteration, telemetry),
        new RateLimitedWarning(),
        telemetry);
  }

  /** The time of this iteration, in tenths of a millisecond. */
  long now() {
    return iteration.now();
  }

  /** Logs a warning, at a bounded rate. */
  void warnRateLimited(String line) {
    warnings.warn(iteration.now(), line);
  }
}
