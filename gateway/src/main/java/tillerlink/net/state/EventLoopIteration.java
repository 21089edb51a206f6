package tillerlink.net.state;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.plain.Units;

/**
 * The sequence of steps in an event-loop iteration. The caller invokes {@link #begin}, then
 * processes the events that have arrived, then invokes {@link #end}, which runs the work that is
 * due and lets the policy apply its decisions once. Confined to the event-loop thread; all times
 * are tenths of a millisecond.
 */
final class EventLoopIteration {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long SUMMARY_INTERVAL = 10_000 * Units.TENTHS_PER_MS;

  private final IterationContext iteration;
  private final GatewayContext context;
  private final ClientRequestHandler clients;
  private final EngineTransportOwner transports;
  private final EndpointListWatch endpointWatch;
  private final ActionExecutor actions;
  private final NetworkSettings settings;

  /** The extension, or null if the gateway has none. */
  private GatewayExtension extension;

  private long nextSweepAt;
  private long nextSummaryAt;

  EventLoopIteration(
      GatewayContext context,
      ClientRequestHandler clients,
      EngineTransportOwner transports,
      EndpointListWatch endpointWatch,
      ActionExecutor actions,
      NetworkSettings settings) {
    this.context = context;
    iteration = context.iteration();
    this.clients = clients;
    this.transports = transports;
    this.endpointWatch = endpointWatch;
    this.actions = actions;
    this.settings = settings;
    nextSummaryAt = iteration.now() + SUMMARY_INTERVAL;
  }

  void setExtension(GatewayExtension newExtension) {
    extension = newExtension;
  }

  /**
   * Begins an iteration. Its time never precedes that of the previous iteration.
   *
   * @param clock the current time
   */
  void begin(long clock) {
    context.pauses().onIterationStarted(iteration.now(), clock);
    iteration.advanceTo(clock);
    if (extension != null) {
      extension.beginIteration(iteration.now());
    }
    iteration.runDeferredTasks();
  }

  /**
   * Ends an iteration, after all of its events have been processed: runs the work that is due and
   * then lets the policy apply its decisions.
   */
  void end() {
    long now = iteration.now();
    if (now >= nextSweepAt) {
      nextSweepAt = now + settings.sweepInterval();
      sweep(now);
    }
    endpointWatch.checkTimeouts();
    if (extension != null) {
      extension.endIteration(now);
    }
    context.policyEvents().wakeUpIfDue();
    context.policyEvents().applyDecisions();
    actions.startOrderedAttempts();
    context.driver().flush();
    context.pauses().expectIterationAt(dueAt());
  }

  /** Returns the time at which the next iteration is due if no event arrives before. */
  long dueAt() {
    long dueAt =
        iteration.hasDeferredTasks()
            ? iteration.now()
            : Math.min(
                Math.min(context.policyEvents().wakeupAt(), nextSweepAt), endpointWatch.dueAt());
    return extension == null ? dueAt : Math.min(dueAt, extension.nextDueAt());
  }

  /** Checks the timeouts of connections and requests, and logs the summary if it is due. */
  private void sweep(long now) {
    transports.endpoints().checkTimeouts(settings.connectTimeout(), settings.idleTimeout());
    clients.sweep(transports::timeOut);
    if (now >= nextSummaryAt) {
      nextSummaryAt = now + SUMMARY_INTERVAL;
      LOG.atInfo()
          .addKeyValue("engine_connections", transports.openConnections())
          .addKeyValue("endpoint_list_version", transports.endpoints().serial())
          .log("{}", clients);
    }
  }
}
