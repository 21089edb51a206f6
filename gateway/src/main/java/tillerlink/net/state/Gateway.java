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
 * One gateway: assembles the objects that own its state and is their interface to the process. The
 * event-loop thread owns it, and every method is called on that thread, within an iteration unless
 * it says otherwise: {@link #beginIteration}, then the events that have come, then {@link
 * #endIteration}. All times are tenths of a millisecond of the gateway's clock.
 *
 * <ul>
 *   <li>{@link ClientRequestHandler}: requests, what is owed for them, and client connections
 *   <li>{@link EngineTransportOwner}: the endpoint list with the transports of its engines, and
 *       what becomes of attempts
 *   <li>{@link EndpointListWatch}: the discovery service, and how far the endpoint list may be used
 *   <li>{@link PolicyEvents} to the policy and {@link ActionExecutor} from it
 *   <li>{@link EventLoopIteration}: the order of what is done in an iteration
 * </ul>
 */
public final class Gateway {
  private static final int HEAP_SHARE = 4;

  private final GatewayContext context;
  private final ClientRequestHandler clients;
  private final FencedRequests fencedRequests;
  private final EngineTransportOwner transports;
  private final EndpointListWatch endpointWatch;
  private final EventLoopIteration eventLoop;

  /** Null if the gateway has none. */
  private GatewayExtension extension;

  /** With engines reached over engine lines, and nothing cached across restarts. */
  public Gateway(
      GatewayConfig config, DispatchPolicyFactory factory, NetworkDriver driver, long now) {
    this(config, factory, driver, now, null, null);
  }

  /** With a bound, by this process' heap, on what is retained for clients. */
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
        Runtime.getRuntime().maxMemory() / HEAP_SHARE,
        transports,
        endpointCache,
        Telemetry.logging());
  }

  /**
   * @param maxBytes how much may be retained for clients; beyond it no request is accepted
   * @param transportFactory how engines are reached, by their kinds; null, or null for an engine:
   *     over engine lines
   * @param endpointCache what is cached across restarts; null: nothing
   * @param telemetry what it counts and logs
   */
  public Gateway(
      GatewayConfig config,
      DispatchPolicyFactory factory,
      NetworkDriver driver,
      long now,
      long maxBytes,
      EngineTransport.Factory transportFactory,
      EndpointCache endpointCache,
      Telemetry telemetry) {
    Map<String, Object> flattened = FlattenedConfig.of(config.terms());
    Settings terms = new Settings(flattened);
    context = GatewayContext.create(driver, now, terms, telemetry);
    clients =
        new ClientRequestHandler(context, terms, config.maxClients(), new RetainedBytes(maxBytes));
    fencedRequests = new FencedRequests(context, clients.requests());
    NetworkSettings settings =
        NetworkSettings.of(config, terms, clients.requests().longestDeadline());
    transports =
        new EngineTransportOwner(
            context,
            clients.requests(),
            clients.retained(),
            fencedRequests,
            settings,
            terms,
            transportFactory);
    EndpointList endpoints = transports.endpoints();
    DiscoveryClient discoveryClient =
        new DiscoveryClient(driver, config.seed(), now, settings.drainGrace(), telemetry);
    ActionExecutor actions = new ActionExecutor(context, clients.requests(), transports);
    DispatchPolicy policy = factory.create(now, config.seed(), flattened, actions);
    context.policyEvents().setPolicy(policy);
    EndpointListUpdater updater =
        new EndpointListUpdater(endpoints, policy, context.monitor(), endpointCache, telemetry);
    endpointWatch = new EndpointListWatch(context, discoveryClient, updater, endpoints);
    endpointWatch.start(config.known());
    eventLoop =
        new EventLoopIteration(context, clients, transports, endpointWatch, actions, settings);
    registerGauges();
  }

  private void registerGauges() {
    Metrics metrics = context.telemetry().metrics();
    metrics.gauge(
        "endpoint_list_version",
        "Number of the last event of the endpoint list.",
        transports.endpoints()::index);
    metrics.gauge(
        "engine_connections",
        "Engine connections open or being opened.",
        transports::openConnections);
    metrics.gauge(
        "requests_pending",
        "Requests accepted and not yet answered.",
        () -> clients.requests().unanswered().size());
  }

  /** Adds the extension of this gateway, before its first client; null: it has none. */
  public void setExtension(GatewayExtension added) {
    extension = added;
    clients.setExtension(added);
    eventLoop.setExtension(added);
  }

  /** What the extension may ask of this gateway. */
  public GatewayExtension.ExtensionContext extensionContext() {
    return fencedRequests;
  }

  // ---- event loop ----

  /** When the current iteration began. */
  public long now() {
    return context.now();
  }

  /** An iteration begins; its time is never before that of the iteration before. */
  public void beginIteration(long clock) {
    eventLoop.begin(clock);
  }

  /** All events of the iteration were processed: what is due follows, then the decisions. */
  public void endIteration() {
    eventLoop.end();
  }

  /** When the next iteration is due though no event comes; called between iterations as well. */
  public long dueAt() {
    return eventLoop.dueAt();
  }

  // ---- network events ----

  /** A client has connected. */
  public Channel.Owner onClientConnected(Channel channel) {
    context.pauses().onClientActivity(context.now());
    return clients.onConnected(channel);
  }

  /** A datagram of the discovery service has come. */
  public void onDiscoveryDatagram(byte[] datagram) {
    endpointWatch.onDatagram(datagram);
  }

  /** The driver sends queries to another address of the discovery service from now on. */
  public void discoveryAddressChanged() {
    endpointWatch.onAddressChanged();
  }

  /** Whether an answer of the discovery service confirms the endpoint list in force. */
  public boolean listConfirmed() {
    return endpointWatch.confirmed();
  }

  /** How many connections to engines are open or being opened. */
  public int openConnections() {
    return transports.openConnections();
  }

  // ---- shutdown ----

  /** The process is to end soon; until {@link #stopAccepting} all requests are served. */
  public void drain() {
    clients.drain();
    if (extension != null) {
      extension.onDrain();
    }
  }

  /** The longest that any client waits for an answer. */
  public long longestDeadline() {
    return clients.requests().longestDeadline();
  }

  /** Whether every answer has been written. */
  public boolean allAnswered() {
    return clients.allAnswered();
  }

  /** No further request is accepted; connections close once nothing is owed on them. */
  public void stopAccepting() {
    clients.close();
  }

  /** Whether no client is connected any more. */
  public boolean hasNoClients() {
    return clients.connections().size() == 0;
  }

  /** Time is up: the policy decides the final answer to what is still pending. */
  public void onShutdownDeadline() {
    if (extension != null) {
      extension.onShutdownDeadline();
    }
    clients.requests().unanswered().forEach(context.policyEvents()::shutdownDeadline);
    context.policyEvents().requireDecisions();
  }

  /** How many requests were accepted and have no final answer. */
  public int pendingRequests() {
    return clients.requests().unanswered().size();
  }
}
