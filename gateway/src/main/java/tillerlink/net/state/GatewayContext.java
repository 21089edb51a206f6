package tillerlink.net.state;

import tillerlink.model.Settings;
import tillerlink.policy.InvariantMonitor;
import tillerlink.telemetry.Telemetry;

/**
 * The objects that the parts of one gateway share. Confined to the event-loop thread.
 *
 * @param iteration the time of the current iteration, and the tasks deferred to the next one
 * @param driver the network
 * @param pauses detects pauses of this process
 * @param listStatus the state and version of the endpoint list
 * @param monitor checks the invariants; used directly for events that {@code invariants} does not
 *     pass on
 * @param invariants passes writes and answers to the monitor and reports violations
 * @param policyEvents passes events to the policy
 * @param dispatchLog counts and logs attempts and requests
 * @param warnings logs warnings at a limited rate
 * @param telemetry the counters and the event log
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
   * Creates the shared objects of one gateway.
   *
   * @param now the time at which the gateway starts, in tenths of a millisecond
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

  /** Returns the time of the current iteration, in tenths of a millisecond. */
  long now() {
    return iteration.now();
  }

  /** Logs a warning, at a limited rate. */
  void warnRateLimited(String line) {
    warnings.warn(iteration.now(), line);
  }
}
