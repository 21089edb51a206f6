package tillerlink.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;
import tillerlink.audit.Auditor;
import tillerlink.fakes.LineProtocolServer;
import tillerlink.fakes.NameAnswer;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Spec;
import tillerlink.fleet.Trouble;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.workload.RequestClassSpec;

/**
 * Engines, their list and gateways in virtual time. The same seed and events give the same world on
 * every machine.
 */
public final class World {
  /** What the auditor and the engines must know of a request, and no gateway is told. */
  public record Job(double work, int threads, double memory) {}

  private static final long NEAR = 2;
  private static final long FAR = 5;
  private static final long MS = 10;

  /** How long it takes until the list tells that a process has ended by itself. */
  private static final long LIST_DELAY = 2 * Fleet.SECOND;

  public final Fleet fleet;
  public final List<RequestClassSpec> requestClasses;
  public final Timeline timeline;
  public final Auditor auditor;
  public final List<EmulatedGateway> seats = new ArrayList<>();

  /** How engines speak on a new connection; tests put in others that misbehave. */
  public Function<Spec, LineProtocolServer> sides;

  /** What each gateway remembers over a restart, by its place; null for nothing. */
  public IntFunction<EndpointCache> endpointCaches = place -> null;

  /** Until then the discovery service answers nobody, and a gateway that starts is told nothing. */
  public long namesDownUntil;

  /** What gateways cost, where that is measured; else null. */
  public Meter meter;

  /** What goes otherwise than usual, decided point by point. */
  public Choices choices = Choices.NONE;

  /**
   * Where bytes are split and how long they take beyond the usual; null for whole and no longer.
   */
  public Random mischief;

  final DeduplicationLog receipts;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<InetSocketAddress, EmulatedEngine> byAddress = new HashMap<>();
  private final Map<String, EmulatedEngine> byName = new LinkedHashMap<>();
  private final Map<String, EndpointEntry> listed = new LinkedHashMap<>();
  private final List<String> happened = new ArrayList<>();
  private final List<IntConsumer> killListeners = new ArrayList<>();
  private final List<IntConsumer> startListeners = new ArrayList<>();
  private final List<Consumer<EmulatedEngine>> engineListeners = new ArrayList<>();
  private long start;
  private byte[] nameAnswer;
  private long serial = 1;
  private int places;
  long turns;

  /** Engines and their list; who the gateways are is seen to by others. */
  public World(Fleet fleet, List<RequestClassSpec> requestClasses, Auditor auditor, long start) {
    this.fleet = fleet;
    sides = spec -> fleet.kinds().get(spec.kind()).side();
    this.requestClasses = requestClasses;
    this.auditor = auditor;
    this.start = start;
    timeline = new Timeline(start);
    receipts =
        new DeduplicationLog(
            requestClasses.stream().mapToLong(RequestClassSpec::window).max().orElse(0));
    for (Spec spec : fleet.engines()) {
      up(spec, 0);
    }
  }

  /** Gateways on a driver in memory. */
  public World seat(DispatchPolicyFactory modules, long seed) {
    for (int i = 0; i < fleet.gateways(); i++) {
      seats.add(new EmulatedGateway(this, i, modules, seed));
    }
    onKill(place -> seats.get(place).kill());
    onStart(place -> seats.get(place).start());
    return this;
  }

  /** Troubles are reckoned from then on. */
  public void startAt(long at) {
    start = at;
  }

  public long now() {
    return timeline.now();
  }

  public long turns() {
    return turns;
  }

  private EmulatedEngine up(Spec spec, long startedAt) {
    EmulatedEngine engine = new EmulatedEngine(this, spec, places++, startedAt);
    InetSocketAddress address = Fleet.address(engine.place);
    byAddress.put(address, engine);
    byName.put(spec.name(), engine);
    listed.put(spec.name(), fleet.entry(spec, address, Status.READY, startedAt / MS));
    auditor.engineUp(spec.name(), spec.kind(), startedAt);
    engineListeners.forEach(listener -> listener.accept(engine));
    changed();
    return engine;
  }

  private void changed() {
    serial++;
    nameAnswer = null;
  }

  // ---- requests ----

  public void expect(String id, Job job) {
    jobs.put(id, job);
  }

  public void forget(String id) {
    jobs.remove(id);
  }

  Job job(String id) {
    return jobs.get(id);
  }

  // ---- the network ----

  /** Told of each engine that comes up from now on, and of those that are there. */
  public void onEngine(Consumer<EmulatedEngine> listener) {
    byName.values().forEach(listener);
    engineListeners.add(listener);
  }

  EmulatedEngine at(InetSocketAddress address) {
    return byAddress.get(address);
  }

  /**
   * Tenths of a millisecond one way: an engine in another zone than the gateway's is further off.
   */
  long delay(int gateway, InetSocketAddress to) {
    EmulatedEngine engine = byAddress.get(to);
    return engine != null && engine.spec.zone() == gateway % fleet.zones().size() ? NEAR : FAR;
  }

  // ---- the list ----

  public List<EndpointEntry> list() {
    return List.copyOf(listed.values());
  }

  public EndpointWatchEvent news() {
    if (namesDown()) {
      return new EndpointWatchEvent(0, true, List.of());
    }
    return new EndpointWatchEvent(serial, true, list());
  }

  public boolean namesDown() {
    return now() < namesDownUntil;
  }

  byte[] nameAnswer() {
    if (namesDown()) {
      return null;
    }
    if (nameAnswer == null) {
      nameAnswer = NameAnswer.of(0, serial, list());
    }
    return nameAnswer;
  }

  private void list(String name, Status standing) {
    EndpointEntry entry = listed.get(name);
    if (entry != null) {
      listed.put(
          name,
          new EndpointEntry(
              entry.id(),
              entry.address(),
              entry.port(),
              entry.zone(),
              entry.kind(),
              entry.cell(),
              standing,
              entry.weight(),
              entry.startedMs()));
      changed();
    }
  }

  // ---- troubles ----

  /**
   * Puts a trouble in; what it names must be there by then, or it passes with a line that says so.
   */
  public void plan(Trouble trouble) {
    timeline.at(start + trouble.at(), () -> begin(trouble));
  }

  private void begin(Trouble trouble) {
    if (trouble.what() == Trouble.What.KILLED) {
      killed(trouble);
      return;
    }
    EmulatedEngine engine = byName.get(trouble.whom());
    if (engine == null || engine.isEnded()) {
      happened(trouble.whom() + " is not there");
      return;
    }
    long until = now() + trouble.lasts();
    switch (trouble.what()) {
      case SLOW -> {
        engine.slow(trouble.factor());
        happened(trouble.whom() + " is " + trouble.factor() + " times slower");
        timeline.at(
            until,
            () -> {
              engine.slow(1);
              happened(trouble.whom() + " is as fast as before");
            });
      }
      case SILENT -> {
        engine.silence(true);
        happened(trouble.whom() + " falls silent");
        timeline.at(
            until,
            () -> {
              engine.silence(false);
              happened(trouble.whom() + " is heard again");
            });
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

  private void drain(EmulatedEngine engine, long until) {
    list(engine.spec.name(), Status.DRAINING);
    engine.drain();
    happened(engine.spec.name() + " drains");
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
      happened(engine.spec.name() + " ends");
    }
  }

  private void delist(EmulatedEngine engine) {
    String name = engine.spec.name();
    list(name, Status.GONE);
    listed.remove(name);
    for (int gateway = 0; gateway < fleet.gateways(); gateway++) {
      auditor.withdrawn(now() + LIST_DELAY, gateway, name);
    }
    timeline.at(
        now() + 10 * LIST_DELAY,
        () -> {
          byName.remove(name);
          byAddress.remove(Fleet.address(engine.place));
          auditor.engineForgotten(name);
        });
  }

  private void replace(Spec old) {
    String name =
        old.name().replaceFirst("-[0-9]+$", "") + "-" + (places - fleet.engines().size() + 1);
    up(new Spec(name, old.kind(), old.zone()), now());
    happened(name + " takes its place, cold");
  }

  private void killed(Trouble trouble) {
    int place =
        trouble.whom().matches("n[0-9]{1,6}") ? Integer.parseInt(trouble.whom().substring(1)) : -1;
    if (place < 0 || place >= fleet.gateways()) {
      happened(trouble.whom() + " is not there");
      return;
    }
    killListeners.forEach(listener -> listener.accept(place));
    auditor.gatewayKilled(place);
    happened(trouble.whom() + " is killed");
    timeline.at(
        now() + trouble.lasts(),
        () -> {
          startListeners.forEach(listener -> listener.accept(place));
          happened(trouble.whom() + " starts anew");
        });
  }

  /** Told just before a gateway is killed, by its place, and when it starts anew. */
  public void onKill(IntConsumer listener) {
    killListeners.add(listener);
  }

  public void onStart(IntConsumer listener) {
    startListeners.add(listener);
  }

  private void happened(String what) {
    happened.add(
        String.format(Locale.ROOT, "%8.1f s  %s", (now() - start) / (double) Fleet.SECOND, what));
  }

  /** What went wrong and when, a line each. */
  public List<String> happened() {
    return happened;
  }

  /**
   * Of each engine that is there at the end, what share of its cores it gave out over such a time.
   */
  public Map<String, Double> busy(long time) {
    Map<String, Double> busy = new LinkedHashMap<>();
    byName.forEach(
        (name, engine) ->
            busy.put(name, engine.spent() / time / fleet.kinds().get(engine.spec.kind()).cores()));
    return busy;
  }
}
