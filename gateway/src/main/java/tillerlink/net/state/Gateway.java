package tillerlink.net.state;

import java.util.Map;
import tillerlink.model.Settings;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.FlattenedConfig;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Metrics;
import tillerlink.telemetry.Telemetry;

/**
 * One gateway. It assembles the objects that own the gateway's state and is their interface to the
 * process. All methods must be called on the event-loop thread and, unless documented otherwise,
 * within an iteration: {@link #beginIteration}, then the events that have arrived, then {@link
 * #endIteration}. All times are tenths of a millisecond of the gateway's clock.
 *
 * <ul>
 *   <li>{@link ClientRequestHandler}: requests, their pending answers, and client connections
 *   <li>{@link EngineTransportOwner}: the endpoint list with the transports of its engines, and the
 *       outcomes of attempts
 *   <li>{@link EndpointListWatch}: the polling of the discovery service, and whether the endpoint
 *       list may be used
 *   <li>{@link PolicyEvents}: the events that are passed to the policy
 *   <li>{@link ActionExecutor}: the actions that the policy orders
 *   <li>{@link EventLoopIteration}: the sequence of steps in an iteration
 * </ul>
 */
public final class Gateway {
  /**
   * Bytes retained for clients may take the maximum heap size divided by this number. The rest is
   * for the state of the policy, for bytes that are being read or written, and for garbage.
   */
  private static final int HEAP_DIVISOR = 3;

  private final GatewayContext context;
  private final ClientRequestHandler clients;
  private final FencedRequests fencedRequests;
  private final EngineTransportOwner transports;
  private final EndpointListWatch endpointWatch;
  private final EventLoopIteration eventLoop;

  /** The extension, or null if the gateway has none. */
  private GatewayExtension extension;

  /** Creates a gateway that uses the line protocol for all engines and has no endpoint cache. */
  public Gateway(
      GatewayConfig config, DispatchPolicyFactory factory, NetworkDriver driver, long now) {
    this(config, factory, driver, now, null, null);
  }

  /** Returns the number of bytes that a gateway of this process may retain for clients. */
  public static long maxRetainedBytes() {
    return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
  }

  /** Creates a gateway that retains at most {@link #maxRetainedBytes} for clients. */
  public Gateway(
      GatewayConfig config,
      DispatchPolicyFactory factory,
      NetworkDriver driver,
      long now,
      EngineTransport.Factory transports,
      EndpointCache endpointCache) {
    this(
        config,
        factory,
        driver,
        now,
        new RetainedBytes(maxRetainedBytes()),
        transports,
        endpointCache,
        Telemetry.logging());
  }

  /**
   * Creates a gateway.
   *
   * @param now the current time, in tenths of a millisecond
   * @param retained counts the memory that is retained for clients; a request that may need more
   *     than is left is not accepted
   * @param transportFactory creates the transports of engines by their kinds; the line protocol is
   *     used if it is null, and for engines for which it returns null
   * @param endpointCache stores the endpoint list across restarts, or null for no cache
   * @param telemetry the counters and the event log of the gateway
   */
  public Gateway(
      GatewayConfig config,
      DispatchPolicyFactory factory,
      NetworkDriver driver,
      long now,
      RetainedBytes retained,
      EngineTransport.Factory transportFactory,
      EndpointCache endpointCache,
      Telemetry telemetry) {
    Map<String, Object> flattened = FlattenedConfig.of(config.settings());
    Settings settings = new Settings(flattened);
    context = GatewayContext.create(driver, now, settings, telemetry);
    clients = new ClientRequestHandler(context, settings, config.maxClients(), retained);
    fencedRequests = new FencedRequests(context, clients.requests());
    NetworkSettings networkSettings =
        NetworkSettings.of(config, settings, clients.requests().longestDeadline());
    AttemptsAwaitingInput awaitingInput = new AttemptsAwaitingInput(context.iteration(), driver);
    transports =
        new EngineTransportOwner(
            context,
            clients.requests(),
            fencedRequests,
            awaitingInput,
            networkSettings,
            settings,
            transportFactory);
    EndpointList endpoints = transports.endpoints();
    DiscoveryClient discoveryClient =
        new DiscoveryClient(driver, config.seed(), now, networkSettings.drainGrace(), telemetry);
    ActionExecutor actions =
        new ActionExecutor(context, clients.requests(), transports, awaitingInput);
    DispatchPolicy policy = factory.create(now, config.seed(), flattened, actions);
    context.policyEvents().setPolicy(policy);
    EndpointListUpdater updater =
        new EndpointListUpdater(endpoints, policy, context.monitor(), endpointCache, telemetry);
    endpointWatch = new EndpointListWatch(context, discoveryClient, updater, endpoints);
    endpointWatch.start(config.initialEndpointUpdates());
    eventLoop =
        new EventLoopIteration(
            context, clients, transports, endpointWatch, actions, networkSettings);
    registerGauges();
  }

  private void registerGauges() {
    Metrics metrics = context.telemetry().metrics();
    metrics.gauge(
        "endpoint_list_version",
        "Number of the last event of the endpoint list.",
        transports.endpoints()::serial);
    metrics.gauge(
        "engine_connections",
        "Engine connections open or being opened.",
        transports::openConnections);
    metrics.gauge(
        "requests_pending",
        "Requests accepted and not yet answered.",
        () -> clients.requests().unanswered().size());
    metrics.gauge(
        "client_memory_retained_bytes",
        "Memory retained or reserved for clients.",
        clients.retained()::bytes);
  }

  /**
   * Sets the extension of this gateway. Must be called before the first client connects.
   *
   * @param newExtension null if the gateway has no extension
   */
  public void setExtension(GatewayExtension newExtension) {
    extension = newExtension;
    clients.setExtension(newExtension);
    eventLoop.setExtension(newExtension);
  }

  /** Returns the operations that the extension may call on this gateway. */
  public GatewayExtension.ExtensionContext extensionContext() {
    return fencedRequests;
  }

  // ---- event loop ----

  /** Returns the time at which the current iteration began. */
  public long now() {
    return context.now();
  }

  /**
   * Begins an iteration. Its time never precedes that of the previous iteration.
   *
   * @param clock the current time
   */
  public void beginIteration(long clock) {
    eventLoop.begin(clock);
  }

  /**
   * Ends an iteration, after all of its events have been processed: runs the work that is due and
   * then lets the policy apply its decisions.
   */
  public void endIteration() {
    eventLoop.end();
  }

  /**
   * Returns the time at which the next iteration is due if no event arrives before. May be called
   * between iterations as well.
   */
  public long dueAt() {
    return eventLoop.dueAt();
  }

  // ---- network events ----

  /** Called when a client has connected; returns the owner of its channel. */
  public Channel.Owner onClientConnected(Channel channel) {
    context.pauses().onClientActivity(context.now());
    return clients.onConnected(channel);
  }

  /** Called when a datagram of the discovery service has been received. */
  public void onDiscoveryDatagram(byte[] datagram) {
    endpointWatch.onDatagram(datagram);
  }

  /** Called when the driver has begun to send queries to another discovery service address. */
  public void discoveryAddressChanged() {
    endpointWatch.onAddressChanged();
  }

  /** Returns whether an answer of the discovery service confirms the current endpoint list. */
  public boolean listConfirmed() {
    return endpointWatch.confirmed();
  }

  /** Returns the number of engine connections that are open or being opened. */
  public int openConnections() {
    return transports.openConnections();
  }

  // ---- shutdown ----

  /** Called when the process will end soon; requests are served until {@link #stopAccepting}. */
  public void drain() {
    clients.drain();
    if (extension != null) {
      extension.onDrain();
    }
  }

  /** Returns the longest deadline of all request classes, in tenths of a millisecond. */
  public long longestDeadline() {
    return clients.requests().longestDeadline();
  }

  /** Returns whether every answer has been written. */
  public boolean allAnswered() {
    return clients.allAnswered();
  }

  /** Stops accepting requests; each connection closes after its last pending answer. */
  public void stopAccepting() {
    clients.close();
  }

  /** Returns whether no client is connected. */
  public boolean hasNoClients() {
    return clients.connections().size() == 0;
  }

  /**
   * Called when the time for the shutdown has elapsed: the policy decides the final answer to each
   * request that is still pending.
   */
  public void onShutdownDeadline() {
    if (extension != null) {
      extension.onShutdownDeadline();
    }
    clients.requests().unanswered().forEach(context.policyEvents()::shutdownDeadline);
    context.policyEvents().requireDecisions();
  }

  /** Returns the number of accepted requests that have no final answer. */
  public int pendingRequests() {
    return clients.requests().unanswered().size();
  }
}
