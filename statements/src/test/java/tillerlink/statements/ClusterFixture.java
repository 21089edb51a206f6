package tillerlink.statements;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.Reachability;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.simulation.InMemoryKeyValueStore;
import tillerlink.simulation.SimulatedFleet;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.catalog.Snapshots;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseConfig;
import tillerlink.statements.prepare.Renaming;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;
import tillerlink.statements.testing.InjectedFault;

/**
 * A cluster of gateways in virtual time that keep prepared statements, with load and an audit.
 * Times are in tenths of a millisecond.
 */
final class ClusterFixture {
  static final long MS = 10;
  static final long SECOND = 10_000;
  private static final double DRIFT = 0.02;
  private static final long LEASE_MARGIN = 50;
  private static final long WRITE_DELAY = 5;
  private static final long POLL_INTERVAL = 5 * MS;

  final SimulatedFleet fleet;
  final Audit audit = new Audit();
  final List<String> voters = new ArrayList<>();
  final List<String> all = new ArrayList<>();
  final List<String> warnings = new ArrayList<>();
  private final SplittableRandom random;
  private final Set<InjectedFault> injectedFaults;
  private final Map<String, GatewayFixture> gateways = new TreeMap<>();
  private final Map<String, InMemoryKeyValueStore> disks = new HashMap<>();
  private final SimulatedRuns runs;
  private final Map<String, Double> clockRates = new HashMap<>();
  private long leaseLength = SECOND;
  private int starts;
  private long writeDelay = WRITE_DELAY;

  ClusterFixture(long seed, int voterCount, int learnerCount, InjectedFault... injectedFaults) {
    random = new SplittableRandom(seed);
    this.injectedFaults = Set.of(injectedFaults);
    fleet = new SimulatedFleet(new Random(seed));
    runs = new SimulatedRuns(fleet, gateways, audit, random, new SplittableRandom(~seed));
    for (int i = 1; i <= voterCount; i++) {
      voters.add("v" + i);
    }
    all.addAll(voters);
    for (int i = 1; i <= learnerCount; i++) {
      all.add("g" + i);
    }
  }

  // ---- settings ----

  /** Clocks run at rates of their own, within the bound. */
  void clocksDrift() {
    all.forEach(name -> clockRates.put(name, 1 + (random.nextDouble() * 2 - 1) * DRIFT));
  }

  void setLeaseLength(long length) {
    leaseLength = length;
  }

  /**
   * Which share of attempts ends at its gateway while an engine still executes it; drawn from a
   * random generator of its own.
   */
  void setUncertainShare(double share) {
    runs.setUncertainShare(share);
  }

  /** How long an engine executes each attempt; 0 for 2 to 42 ms. */
  void setExecutionTime(long time) {
    runs.setExecutionTime(time);
  }

  /** From now on what a disk is handed is durable so much later. */
  void setWriteDelay(long delay) {
    writeDelay = delay;
  }

  void resetWriteDelay() {
    writeDelay = WRITE_DELAY;
  }

  private record FixedMembership(String self, List<String> all) implements MembershipView {
    @Override
    public String site(String name) {
      return "";
    }

    @Override
    public List<String> names() {
      return all.stream().filter(name -> !name.equals(self)).sorted().toList();
    }

    @Override
    public Reachability reachability(String name) {
      return Reachability.REACHABLE;
    }
  }

  // ---- processes ----

  void startAll() {
    all.forEach(this::start);
  }

  /** With its disk as it was left. */
  void start(String name) {
    InMemoryKeyValueStore disk = disks.get(name);
    start(name, disk == null ? new InMemoryKeyValueStore(fleet, WRITE_DELAY) : disk.reopen());
  }

  void startFromEmptyDisk(String name) {
    start(name, new InMemoryKeyValueStore(fleet, WRITE_DELAY));
  }

  void startFromCopy(String name, NavigableMap<String, byte[]> copy) {
    start(name, InMemoryKeyValueStore.of(fleet, WRITE_DELAY, copy));
  }

  NavigableMap<String, byte[]> copyDisk(String name) {
    return disks.get(name).copy();
  }

  private void start(String name, InMemoryKeyValueStore disk) {
    kill(name);
    GatewayFixture gateway =
        new GatewayFixture(
            name, name + "/" + ++starts, clockRates.getOrDefault(name, 1.0), fleet::now, audit);
    disks.put(name, disk);
    LeaseConfig lease = new LeaseConfig(leaseLength, DRIFT, LEASE_MARGIN);
    try {
      gateway.run(
          new Statements(
              new StatementsConfig(voters, lease, new RaftConfig(false, injectedFaults)),
              new FixedMembership(name, all),
              fleet.sender(name),
              storeOf(gateway, disk),
              new Random(random.nextLong()),
              new Renaming(),
              warning -> warnings.add(time() + " " + name + ": " + warning)));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
    gateways.put(name, gateway);
    fleet.start(name, gateway);
  }

  private KeyValueStore storeOf(GatewayFixture gateway, InMemoryKeyValueStore disk) {
    return new KeyValueStore() {
      @Override
      public NavigableMap<String, byte[]> initialEntries() {
        return disk.initialEntries();
      }

      @Override
      public boolean set(String key, byte[] value, Runnable onDurable) {
        if (writeDelay > WRITE_DELAY && value != null) {
          // Handed over, and not durable for long.
          fleet.at(fleet.now() + writeDelay, () -> disk.set(key, value, onDurable));
          return true;
        }
        return disk.set(
            key,
            value,
            () -> {
              onDurable.run();
              if (gateways.get(gateway.name()) == gateway) {
                fleet.reschedule(gateway.name());
              }
            });
      }
    };
  }

  /** Some of what its disk had not written yet is lost. */
  void kill(String name) {
    if (gateways.remove(name) != null) {
      InMemoryKeyValueStore disk = disks.get(name);
      disk.crash(disk.pendingWrites() == 0 ? 0 : random.nextInt(disk.pendingWrites() + 1));
      fleet.kill(name);
    }
  }

  /** All of what its disk had not written yet is lost. */
  void crash(String name) {
    gateways.remove(name);
    disks.get(name).crash(0);
    fleet.kill(name);
  }

  /** It ends in order. */
  void shutDown(String name) {
    GatewayFixture gateway = gateways.get(name);
    gateway.statements().releaseLeases(gateway.localNow());
    kill(name);
  }

  boolean isUp(String name) {
    return gateways.containsKey(name);
  }

  boolean isPaused(String name) {
    return isUp(name) && gateways.get(name).isPaused();
  }

  void pause(String name) {
    gateways.get(name).pause();
    fleet.pause(name);
  }

  void resume(String name) {
    GatewayFixture gateway = gateways.get(name);
    if (gateway != null && gateway.isPaused()) {
      gateway.resume();
      fleet.resume(name);
      gateway.runDeferred();
    }
  }

  Statements statements(String name) {
    return gateways.get(name).statements();
  }

  /** Whether the gateway's voter has rejoined and caught up. */
  boolean isOperational(String voter) {
    return statements(voter).voter().orElseThrow().isOperational();
  }

  // ---- requests ----

  private void onGateway(String name, Consumer<GatewayFixture> action) {
    GatewayFixture gateway = gateways.get(name);
    if (gateway != null && !gateway.isPaused()) {
      action.accept(gateway);
      fleet.reschedule(name);
    }
  }

  void prepare(String at, Definition definition, Consumer<Outcome> onOutcome) {
    onGateway(
        at, gateway -> gateway.statements().prepare(gateway.localNow(), definition, onOutcome));
  }

  void drop(String at, String name, Consumer<Outcome> onOutcome) {
    onGateway(
        at,
        gateway ->
            gateway
                .statements()
                .drop(gateway.localNow(), name, Statements.ANY_GENERATION, onOutcome));
  }

  void announce(String at, Change change, Consumer<Outcome> onOutcome) {
    onGateway(at, gateway -> gateway.statements().announce(gateway.localNow(), change, onOutcome));
  }

  void withdraw(String at, long change, Consumer<Outcome> onOutcome) {
    onGateway(at, gateway -> gateway.statements().withdraw(gateway.localNow(), change, onOutcome));
  }

  /** What a gateway says of a run now: yes, or why not. */
  String runState(String at, String name) {
    GatewayFixture gateway = gateways.get(at);
    if (gateway == null) {
      return "down";
    }
    if (gateway.isPaused()) {
      return "paused";
    }
    Prepared prepared = gateway.statements().lookUp(name).orElse(null);
    Permission permission =
        prepared == null ? null : gateway.statements().checkRun(gateway.localNow(), prepared);
    fleet.reschedule(at);
    if (permission == null) {
      return "unknown name";
    }
    return permission instanceof Permission.Denied denied
        ? denied.reason().toString().toLowerCase(Locale.ROOT)
        : "yes, generation " + prepared.generation();
  }

  boolean canRun(String at, String name) {
    return runState(at, name).startsWith("yes");
  }

  /** Requests a run of a statement now; what becomes of it the audit counts. */
  void run(String at, String name) {
    runs.run(at, name);
  }

  // ---- state ----

  String time() {
    return fleet.now() / MS + " ms";
  }

  /** The gateways that take themselves for the leader, joined by +; none if there is none. */
  String leader() {
    return gateways.values().stream()
        .filter(gateway -> !gateway.isPaused() && gateway.statements().isLeader())
        .map(GatewayFixture::name)
        .reduce((one, other) -> one + "+" + other)
        .orElse("none");
  }

  boolean hasLeader() {
    return !leader().equals("none");
  }

  String describe(String name) {
    if (!isUp(name)) {
      return name + " is down";
    }
    Statements statements = statements(name);
    return name
        + ": applied "
        + statements.catalog().applied()
        + ", waiting "
        + statements.catalog().waiting().keySet()
        + ", anew "
        + statements.catalog().waitingAnew().size()
        + ", idle "
        + statements.isIdle()
        + statements
            .voter()
            .map(
                voter ->
                    ", term "
                        + voter.term()
                        + ", commit "
                        + voter.commitIndex()
                        + ", leader "
                        + voter.leader().orElse("none")
                        + (voter.isOperational() ? "" : ", not operational")
                        + ", rejoined at "
                        + voter.rejoinedAt())
            .orElse("");
  }

  /** Plays on until the condition holds; false if it does not in that time. */
  boolean playUntil(long timeout, BooleanSupplier condition) {
    long end = fleet.now() + timeout;
    while (!condition.getAsBoolean()) {
      if (fleet.now() >= end) {
        return false;
      }
      fleet.playFor(POLL_INTERVAL);
    }
    return true;
  }

  /** Whether all gateways have the same catalog, and nothing is pending. */
  boolean hasConverged() {
    Set<String> states = new HashSet<>();
    for (GatewayFixture gateway : gateways.values()) {
      Statements statements = gateway.statements();
      states.add(new String(Snapshots.write(statements.catalog()), StandardCharsets.ISO_8859_1));
      if (!statements.isIdle() || !statements.catalog().waiting().isEmpty()) {
        return false;
      }
    }
    return states.size() == 1;
  }
}
