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
 * An emulated cluster in virtual time: engines, the discovery service with their endpoint list, and
 * gateways. The same seed and events result in the same history on every machine.
 */
public final class EmulatedCluster {
  /**
   * The cost of a request, which the engines and the auditor know but the gateways do not.
   *
   * @param work the core-time that it needs, in tenths of a millisecond
   * @param threads the number of threads that share the work
   * @param memory the memory that it occupies, in megabytes
   */
  public record RequestCost(double work, int threads, double memory) {}

  /** The one-way delay within a zone, in tenths of a millisecond. */
  private static final long DELAY_IN_ZONE = 2;

  /** The one-way delay between zones, in tenths of a millisecond. */
  private static final long DELAY_BETWEEN_ZONES = 5;

  private static final long TENTHS_PER_MS = 10;

  /** The delay until the list shows that an engine ended undrained, in tenths of a millisecond. */
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

  /**
   * Creates a cluster and starts its engines; {@link #startGateways} starts gateways.
   *
   * @param requestClasses the request classes, whose longest window is that of deduplication
   * @param start the virtual time at the start, in tenths of a millisecond
   */
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

  /** Starts the gateways, each on an in-memory network driver, and returns this cluster. */
  public EmulatedCluster startGateways(DispatchPolicyFactory policies, long seed) {
    for (int i = 0; i < fleet.gateways(); i++) {
      gateways.add(new EmulatedGateway(this, i, policies, seed));
    }
    onKill(index -> gateways.get(index).kill());
    onStart(index -> gateways.get(index).start());
    return this;
  }

  /** Sets the time from which the times of scheduled faults and incidents count. */
  public void startIncidentClock(long at) {
    incidents.startClock(at);
  }

  /** Returns the virtual time, in tenths of a millisecond. */
  public long now() {
    return timeline.now();
  }

  /** Returns the number of event-loop iterations that all gateways have run. */
  public long loopIterations() {
    return loopIterations;
  }

  void countLoopIteration() {
    loopIterations++;
  }

  // ---- configuration ----

  /** Sets what creates the engine's end of a new connection; tests set ones that misbehave. */
  public void protocolFactory(Function<EngineSpec, EngineProtocolServer> factory) {
    protocolFactory = factory;
  }

  /** Creates the engine's end of the protocol for a new connection to it. */
  public EngineProtocolServer newProtocolServer(EngineSpec engine) {
    return protocolFactory.apply(engine);
  }

  /** Sets what returns each gateway's endpoint cache, which survives restarts, or null. */
  public void endpointCaches(IntFunction<EndpointCache> caches) {
    endpointCaches = caches;
  }

  /** Returns the endpoint cache of a gateway, or null if it has none. */
  EndpointCache endpointCache(int index) {
    return endpointCaches.apply(index);
  }

  /**
   * Makes the discovery service unavailable until a time, in tenths of a millisecond. Until then,
   * it answers no queries, and gateways start without an endpoint list.
   */
  public void discoveryDownUntil(long time) {
    discoveryDownUntil = time;
  }

  /** Sets the meter of the gateways' cost, or null to measure nothing. */
  public void costMeter(CostMeter meter) {
    costMeter = meter;
  }

  /** Returns the meter of the gateways' cost, or null if nothing is measured. */
  CostMeter costMeter() {
    return costMeter;
  }

  /** Sets the chooser that is asked at each point at which a fault is possible. */
  public void faultChooser(FaultChooser chooser) {
    faults = chooser;
  }

  /** Returns the chooser that is asked at each point at which a fault is possible. */
  public FaultChooser faults() {
    return faults;
  }

  /** Sets the source of random splits and delays of bytes to and from engines; null for none. */
  public void deliveryJitter(Random random) {
    deliveryJitter = random;
  }

  /** Returns the source of random splits and delays, or null if there are none. */
  Random deliveryJitter() {
    return deliveryJitter;
  }

  /** Returns a gateway by its index. */
  public EmulatedGateway gateway(int index) {
    return gateways.get(index);
  }

  private EmulatedEngine startEngine(EngineSpec spec, long startedAt) {
    EmulatedEngine engine = new EmulatedEngine(this, spec, enginesStarted++, startedAt);
    InetSocketAddress address = Fleet.address(engine.index);
    byAddress.put(address, engine);
    byName.put(spec.name(), engine);
    discovery.put(fleet.entry(spec, address, Status.READY, startedAt / TENTHS_PER_MS));
    auditor.onEngineStarted(spec.name(), spec.kind(), startedAt);
    engineListeners.forEach(listener -> listener.accept(engine));
    return engine;
  }

  // ---- requests ----

  /** Registers the cost of a request; engines fail requests whose cost is not registered. */
  public void expect(String id, RequestCost cost) {
    requestCosts.put(id, cost);
  }

  /** Removes the cost of a request. */
  public void forget(String id) {
    requestCosts.remove(id);
  }

  /** Returns the cost of a request, or null if it is not registered. */
  RequestCost requestCost(String id) {
    return requestCosts.get(id);
  }

  // ---- the network ----

  /** Adds a listener and calls it for each present engine and for each that starts later. */
  public void onEngine(Consumer<EmulatedEngine> listener) {
    byName.values().forEach(listener);
    engineListeners.add(listener);
  }

  /** Returns the engine at an address, or null if there is none. */
  EmulatedEngine engineAt(InetSocketAddress address) {
    return byAddress.get(address);
  }

  /**
   * Returns the one-way delay between a gateway and an address, in tenths of a millisecond. It is
   * shorter if an engine in the gateway's zone has the address.
   */
  long delay(int gateway, InetSocketAddress to) {
    EmulatedEngine engine = byAddress.get(to);
    return engine != null && engine.spec.zone() == gateway % fleet.zones().size()
        ? DELAY_IN_ZONE
        : DELAY_BETWEEN_ZONES;
  }

  // ---- the endpoint list ----

  /** Returns the current endpoint list, whether or not the discovery service is available. */
  public List<EndpointEntry> list() {
    return discovery.list();
  }

  /**
   * Returns a watch event with the complete endpoint list, or with an empty one of version 0 while
   * the discovery service is down.
   */
  public EndpointWatchEvent watchEvent() {
    return isDiscoveryDown() ? new EndpointWatchEvent(0, true, List.of()) : discovery.watchEvent();
  }

  /** Returns whether the discovery service is down. */
  public boolean isDiscoveryDown() {
    return now() < discoveryDownUntil;
  }

  /** Returns the response to a query, or null while the discovery service is down. */
  byte[] discoveryResponse() {
    return isDiscoveryDown() ? null : discovery.response();
  }

  /**
   * Schedules a fault. If the engine or gateway that it names does not exist by then, an incident
   * is logged instead.
   */
  public void plan(ScheduledFault fault) {
    timeline.at(incidents.clockStart() + fault.at(), () -> inject(fault));
  }

  private void inject(ScheduledFault fault) {
    if (fault.what() == ScheduledFault.What.KILLED) {
      gatewayKills.kill(fault);
      return;
    }
    EmulatedEngine engine = byName.get(fault.whom());
    if (engine == null || engine.isEnded()) {
      logIncident(fault.whom() + " is not there");
      return;
    }
    long until = now() + fault.lasts();
    switch (fault.what()) {
      case SLOW -> {
        engine.setSlowness(fault.factor());
        logIncident(fault.whom() + " is " + fault.factor() + " times slower");
        timeline.at(until, () -> endSlowness(engine));
      }
      case SILENT -> {
        engine.setSilent(true);
        logIncident(fault.whom() + " falls silent");
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
    engine.setSilent(false);
    logIncident(engine.spec.name() + " is heard again");
  }

  private void endSlowness(EmulatedEngine engine) {
    engine.setSlowness(1);
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

  /** Removes an engine from the endpoint list now and from the cluster's maps later. */
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

  /** Starts a cold engine of the same kind and zone under a new name. */
  private void replace(EngineSpec predecessor) {
    String name =
        predecessor.name().replaceFirst("-[0-9]+$", "")
            + "-"
            + (enginesStarted - fleet.engines().size() + 1);
    startEngine(new EngineSpec(name, predecessor.kind(), predecessor.zone()), now());
    logIncident(name + " takes its place, cold");
  }

  /** Adds a listener that is called with a gateway's index when the gateway is to be killed. */
  public void onKill(IntConsumer listener) {
    gatewayKills.onKill(listener);
  }

  /** Adds a listener that is called with a gateway's index when the gateway is to be restarted. */
  public void onStart(IntConsumer listener) {
    gatewayKills.onStart(listener);
  }

  /** Logs an incident with the time since the start of the incident clock. */
  void logIncident(String description) {
    incidents.add(now(), description);
  }

  /** Returns the incidents so far, one per line, the oldest first. */
  public List<String> incidents() {
    return incidents.lines();
  }

  /**
   * Returns the utilization of the present engines.
   *
   * @param time the duration over which it is averaged, in tenths of a millisecond
   * @return the share of its cores that each engine has used, by the engine's name
   */
  public Map<String, Double> utilization(long time) {
    Map<String, Double> utilization = new LinkedHashMap<>();
    byName.forEach((name, engine) -> utilization.put(name, engine.utilization(time)));
    return utilization;
  }
}
