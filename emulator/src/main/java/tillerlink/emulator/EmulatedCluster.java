package tillerlink.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;
import tillerlink.audit.Auditor;
import tillerlink.fakes.EngineProtocolServer;
import tillerlink.fleet.EngineSpec;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.workload.RequestClassSpec;

/**
 * Engines, the discovery service with their endpoint list, and gateways, in virtual time. The same
 * seed and events give the same history on every machine.
 */
public final class EmulatedCluster {
  /** The cost of a request, which engines and the auditor know and no gateway does. */
  public record RequestCost(double work, int threads, double memory) {}

  /** One-way delay within a zone, in tenths of a millisecond. */
  private static final long DELAY_IN_ZONE = 2;

  /** One-way delay between zones, in tenths of a millisecond. */
  private static final long DELAY_BETWEEN_ZONES = 5;

  private static final long TICKS_PER_MS = 10;

  /** How long it takes until the endpoint list shows that a process has ended by itself. */
  private static final long LIST_DELAY = 2 * Fleet.SECOND;

  public final Fleet fleet;
  public final List<RequestClassSpec> requestClasses;
  public final Timeline timeline;
  public final Auditor auditor;
  private final List<EmulatedGateway> gateways = new ArrayList<>();

  private Function<EngineSpec, EngineProtocolServer> protocolFactory;
  private IntFunction<EndpointCache> endpointCaches = index -> null;
  private long discoveryDownUntil;
  private CostMeter costMeter;
  private FaultChooser faults = FaultChooser.NONE;
  private Random deliveryJitter;
  final DeduplicationLog deduplicationLog;
  private final Map<String, RequestCost> requestCosts = new HashMap<>();
  private final Map<InetSocketAddress, EmulatedEngine> byAddress = new HashMap<>();
  private final Map<String, EmulatedEngine> byName = new LinkedHashMap<>();
  private final EmulatedDiscovery discovery = new EmulatedDiscovery();
  private final IncidentLog incidents;
  private final GatewayKills gatewayKills = new GatewayKills(this);
  private final List<Consumer<EmulatedEngine>> engineListeners = new ArrayList<>();
  private int enginesStarted;
  private long loopIterations;

  /** A cluster with its engines; gateways are started apart. */
  public EmulatedCluster(
      Fleet fleet, List<RequestClassSpec> requestClasses, Auditor auditor, long start) {
    this.fleet = fleet;
    protocolFactory = spec -> fleet.kinds().get(spec.kind()).newServer();
    this.requestClasses = requestClasses;
    this.auditor = auditor;
    incidents = new IncidentLog(start);
    timeline = new Timeline(start);
    deduplicationLog =
        new DeduplicationLog(
            requestClasses.stream().mapToLong(RequestClassSpec::window).max().orElse(0));
    for (EngineSpec spec : fleet.engines()) {
      startEngine(spec, 0);
    }
  }

  /** Starts the gateways, each on an in-memory network driver. */
  public EmulatedCluster startGateways(DispatchPolicyFactory policies, long seed) {
    for (int i = 0; i < fleet.gateways(); i++) {
      gateways.add(new EmulatedGateway(this, i, policies, seed));
    }
    onKill(index -> gateways.get(index).kill());
    onStart(index -> gateways.get(index).start());
    return this;
  }

  /** Sets the moment from which the times of planned troubles count. */
  public void startIncidentClock(long at) {
    incidents.startClock(at);
  }

  public long now() {
    return timeline.now();
  }

  /** How many event-loop iterations the gateways have run. */
  public long loopIterations() {
    return loopIterations;
  }

  void countLoopIteration() {
    loopIterations++;
  }

  // ---- how the cluster behaves ----

  /** Sets which protocol engines speak on a new connection; tests put in some that misbehave. */
  public void protocolFactory(Function<EngineSpec, EngineProtocolServer> factory) {
    protocolFactory = factory;
  }

  /** The engine's end of the protocol on a new connection to it. */
  public EngineProtocolServer newProtocolServer(EngineSpec engine) {
    return protocolFactory.apply(engine);
  }

  /** Sets the endpoint cache of each gateway, by its index, which survives restarts. */
  public void endpointCaches(IntFunction<EndpointCache> caches) {
    endpointCaches = caches;
  }

  EndpointCache endpointCache(int index) {
    return endpointCaches.apply(index);
  }

  /** Until then the discovery service answers nobody, and a starting gateway gets no list. */
  public void discoveryDownUntil(long time) {
    discoveryDownUntil = time;
  }

  /** Measures what gateways cost. */
  public void costMeter(CostMeter meter) {
    costMeter = meter;
  }

  /** The meter, or null if nothing is measured. */
  CostMeter costMeter() {
    return costMeter;
  }

  /** Sets what chooses a fault at each point at which one is possible. */
  public void faultChooser(FaultChooser chooser) {
    faults = chooser;
  }

  /** Chooses a fault at each point at which one is possible. */
  public FaultChooser faults() {
    return faults;
  }

  /** Splits and delays bytes between gateways and engines at random. */
  public void deliveryJitter(Random random) {
    deliveryJitter = random;
  }

  /** The source of splits and delays, or null if bytes come whole and in time. */
  Random deliveryJitter() {
    return deliveryJitter;
  }

  /** A gateway by its index. */
  public EmulatedGateway gateway(int index) {
    return gateways.get(index);
  }

  private EmulatedEngine startEngine(EngineSpec spec, long startedAt) {
    EmulatedEngine engine = new EmulatedEngine(this, spec, enginesStarted++, startedAt);
    InetSocketAddress address = Fleet.address(engine.index);
    byAddress.put(address, engine);
    byName.put(spec.name(), engine);
    discovery.put(fleet.entry(spec, address, Status.READY, startedAt / TICKS_PER_MS));
    auditor.onEngineStarted(spec.name(), spec.kind(), startedAt);
    engineListeners.forEach(listener -> listener.accept(engine));
    return engine;
  }

  // ---- requests ----

  /** Announces a request to engines, before it is sent. */
  public void expect(String id, RequestCost cost) {
    requestCosts.put(id, cost);
  }

  /** Forgets a request. */
  public void forget(String id) {
    requestCosts.remove(id);
  }

  RequestCost requestCost(String id) {
    return requestCosts.get(id);
  }

  // ---- the network ----

  /** Calls the listener for the present engines, and for each that comes up from now on. */
  public void onEngine(Consumer<EmulatedEngine> listener) {
    byName.values().forEach(listener);
    engineListeners.add(listener);
  }

  EmulatedEngine engineAt(InetSocketAddress address) {
    return byAddress.get(address);
  }

  /** The one-way delay in tenths of a millisecond, longer to an engine in another zone. */
  long delay(int gateway, InetSocketAddress to) {
    EmulatedEngine engine = byAddress.get(to);
    return engine != null && engine.spec.zone() == gateway % fleet.zones().size()
        ? DELAY_IN_ZONE
        : DELAY_BETWEEN_ZONES;
  }

  // ---- the endpoint list ----

  /** The current endpoint list. */
  public List<EndpointEntry> list() {
    return discovery.list();
  }

  /** The full list as a watch event; empty while the discovery service is down. */
  public EndpointWatchEvent watchEvent() {
    return isDiscoveryDown() ? new EndpointWatchEvent(0, true, List.of()) : discovery.watchEvent();
  }

  /** Whether the discovery service is down. */
  public boolean isDiscoveryDown() {
    return now() < discoveryDownUntil;
  }

  /** The response to a query, or null while the discovery service is down. */
  byte[] discoveryResponse() {
    return isDiscoveryDown() ? null : discovery.response();
  }

  /**
   * Plans a trouble. If what it names does not exist by then, the incident list says so instead.
   */
  public void plan(ScheduledFault trouble) {
    timeline.at(incidents.clockStart() + trouble.at(), () -> begin(trouble));
  }

  private void begin(ScheduledFault trouble) {
    if (trouble.what() == ScheduledFault.What.KILLED) {
      gatewayKills.kill(trouble);
      return;
    }
    EmulatedEngine engine = byName.get(trouble.whom());
    if (engine == null || engine.isEnded()) {
      logIncident(trouble.whom() + " is not there");
      return;
    }
    long until = now() + trouble.lasts();
    switch (trouble.what()) {
      case SLOW -> {
        engine.slow(trouble.factor());
        logIncident(trouble.whom() + " is " + trouble.factor() + " times slower");
        timeline.at(until, () -> endSlowness(engine));
      }
      case SILENT -> {
        engine.silence(true);
        logIncident(trouble.whom() + " falls silent");
        timeline.at(until, () -> endSilence(engine));
      }
      case GONE -> {
        end(engine);
        timeline.at(now() + LIST_DELAY, () -> delist(engine));
      }
      case DRAINED -> drain(engine, until);
      default -> {
        drain(engine, until);
        timeline.at(until, () -> replace(engine.spec));
      }
    }
  }

  private void endSilence(EmulatedEngine engine) {
    engine.silence(false);
    logIncident(engine.spec.name() + " is heard again");
  }

  private void endSlowness(EmulatedEngine engine) {
    engine.slow(1);
    logIncident(engine.spec.name() + " is as fast as before");
  }

  private void drain(EmulatedEngine engine, long until) {
    discovery.update(engine.spec.name(), Status.DRAINING);
    engine.drain();
    logIncident(engine.spec.name() + " drains");
    timeline.at(
        until,
        () -> {
          end(engine);
          delist(engine);
        });
  }

  private void end(EmulatedEngine engine) {
    if (!engine.isEnded()) {
      engine.end();
      logIncident(engine.spec.name() + " ends");
    }
  }

  private void delist(EmulatedEngine engine) {
    String name = engine.spec.name();
    discovery.remove(name);
    for (int gateway = 0; gateway < fleet.gateways(); gateway++) {
      auditor.onEndpointWithdrawn(now() + LIST_DELAY, gateway, name);
    }
    timeline.at(
        now() + 10 * LIST_DELAY,
        () -> {
          byName.remove(name);
          byAddress.remove(Fleet.address(engine.index));
          auditor.onEngineForgotten(name);
        });
  }

  private void replace(EngineSpec old) {
    String name =
        old.name().replaceFirst("-[0-9]+$", "")
            + "-"
            + (enginesStarted - fleet.engines().size() + 1);
    startEngine(new EngineSpec(name, old.kind(), old.zone()), now());
    logIncident(name + " takes its place, cold");
  }

  /** Calls the listener with a gateway's index just before it is killed. */
  public void onKill(IntConsumer listener) {
    gatewayKills.onKill(listener);
  }

  /** Calls the listener with a gateway's index when it starts again. */
  public void onStart(IntConsumer listener) {
    gatewayKills.onStart(listener);
  }

  /** Adds a line to the incidents, with the time since they are counted. */
  void logIncident(String what) {
    incidents.add(now(), what);
  }

  /** The incidents so far, a line each. */
  public List<String> incidents() {
    return incidents.lines();
  }

  /** The share of its cores that each present engine has used over that time. */
  public Map<String, Double> utilization(long time) {
    Map<String, Double> utilization = new LinkedHashMap<>();
    byName.forEach((name, engine) -> utilization.put(name, engine.utilization(time)));
    return utilization;
  }
}
