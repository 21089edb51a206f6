package tillerlink.net.state;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.plain.Units;

/**
 * One event-loop iteration: {@link #begin}, then whatever events have come, then {@link #end},
 * which does what is due and has the policy apply its decisions once. Owned by the event-loop
 * thread; all times are tenths of a millisecond.
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

  /** Null if the gateway has none. */
  private GatewayExtension extension;

  private long sweepAt;
  private long summaryAt;

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
    summaryAt = iteration.now() + SUMMARY_INTERVAL;
  }

  void setExtension(GatewayExtension added) {
    extension = added;
  }

  /** An iteration begins; its time is never before that of the iteration before. */
  void begin(long clock) {
    context.pauses().onIterationStarted(iteration.now(), clock);
    iteration.advanceTo(clock);
    if (extension != null) {
      extension.beginIteration(iteration.now());
    }
    iteration.runDeferredTasks();
  }

  /** All events of this iteration were processed: does what is due, then applies decisions. */
  void end() {
    long now = iteration.now();
    if (now >= sweepAt) {
      sweepAt = now + settings.sweepInterval();
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

  /** When the next iteration is due though no event comes. */
  long dueAt() {
    long dueAt =
        iteration.hasDeferredTasks()
            ? iteration.now()
            : Math.min(Math.min(context.policyEvents().wakeupAt(), sweepAt), endpointWatch.dueAt());
    return extension == null ? dueAt : Math.min(dueAt, extension.nextDueAt());
  }

  private void sweep(long now) {
    transports.endpoints().checkTimeouts(settings.connectTimeout(), settings.idleTimeout());
    clients.sweep(transports::timeOut);
    if (now >= summaryAt) {
      summaryAt = now + SUMMARY_INTERVAL;
      LOG.atInfo()
          .addKeyValue("engine_connections", transports.openConnections())
          .addKeyValue("endpoint_list_version", transports.endpoints().index())
          .log("{}", clients);
    }
  }
}
