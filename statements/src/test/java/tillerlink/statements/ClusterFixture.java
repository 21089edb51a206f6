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
 * A simulated cluster of gateways with prepared statements, with load and an audit. It runs in
 * virtual time. Times are in tenths of a millisecond.
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
  final List<String> gatewayNames = new ArrayList<>();
  final List<String> warnings = new ArrayList<>();
  private final SplittableRandom random;
  private final Set<InjectedFault> injectedFaults;
  private final Map<String, GatewayFixture> gateways = new TreeMap<>();
  private final Map<String, InMemoryKeyValueStore> disks = new HashMap<>();
  private final SimulatedRuns runs;
  private final Map<String, Double> clockRates = new HashMap<>();
  private long leaseLength = SECOND;
  private int startCount;
  private long writeDelay = WRITE_DELAY;

  ClusterFixture(long seed, int voterCount, int learnerCount, InjectedFault... injectedFaults) {
    random = new SplittableRandom(seed);
    this.injectedFaults = Set.of(injectedFaults);
    fleet = new SimulatedFleet(new Random(seed));
    runs = new SimulatedRuns(fleet, gateways, audit, random, new SplittableRandom(~seed));
    for (int i = 1; i <= voterCount; i++) {
      voters.add("v" + i);
    }
    gatewayNames.addAll(voters);
    for (int i = 1; i <= learnerCount; i++) {
      gatewayNames.add("g" + i);
    }
  }

  // ---- settings ----

  /** Gives each gateway's clock its own random rate within the configured drift. */
  void randomizeClockRates() {
    gatewayNames.forEach(name -> clockRates.put(name, 1 + (random.nextDouble() * 2 - 1) * DRIFT));
  }

  void setLeaseLength(long length) {
    leaseLength = length;
  }

  /**
   * Sets the share of attempts that end at their gateway while an engine still executes them. They
   * are drawn from a separate random generator, so that the share does not change other draws.
   *
   * @param share from 0 to 1
   */
  void setUncertainShare(double share) {
    runs.setUncertainShare(share);
  }

  /** Sets how long an engine executes each attempt; 0 draws 2 to 42 ms for each. */
  void setExecutionTime(long time) {
    runs.setExecutionTime(time);
  }

  /** Delays the durability of values that are written to disks from now on. */
  void setWriteDelay(long delay) {
    writeDelay = delay;
  }

  void resetWriteDelay() {
    writeDelay = WRITE_DELAY;
  }

  private record FixedMembership(String self, List<String> gatewayNames) implements MembershipView {
    @Override
    public String site(String name) {
      return "";
    }

    @Override
    public List<String> names() {
      return gatewayNames.stream().filter(name -> !name.equals(self)).sorted().toList();
    }

    @Override
    public Reachability reachability(String name) {
      return Reachability.REACHABLE;
    }
  }

  // ---- processes ----

  void startAll() {
    gatewayNames.forEach(this::start);
  }

  /** Starts a gateway with its disk as its last process left it, or with an empty one. */
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
            name, name + "/" + ++startCount, clockRates.getOrDefault(name, 1.0), fleet::now, audit);
    disks.put(name, disk);
    LeaseConfig lease = new LeaseConfig(leaseLength, DRIFT, LEASE_MARGIN);
    try {
      gateway.setStatements(
          new Statements(
              new StatementsConfig(voters, lease, new RaftConfig(false, injectedFaults)),
              new FixedMembership(name, gatewayNames),
              fleet.sender(name),
              storeFor(gateway, disk),
              new Random(random.nextLong()),
              new Renaming(),
              warning -> warnings.add(time() + " " + name + ": " + warning)));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
    gateways.put(name, gateway);
    fleet.start(name, gateway);
  }

  private KeyValueStore storeFor(GatewayFixture gateway, InMemoryKeyValueStore disk) {
    return new KeyValueStore() {
      @Override
      public NavigableMap<String, byte[]> initialEntries() {
        return disk.initialEntries();
      }

      @Override
      public boolean set(String key, byte[] value, Runnable onDurable) {
        if (writeDelay > WRITE_DELAY && value != null) {
          // The write is accepted now and reaches the simulated disk after the delay.
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

  /** Kills a gateway; a random number of its pending disk writes is lost. */
  void kill(String name) {
    if (gateways.remove(name) != null) {
      InMemoryKeyValueStore disk = disks.get(name);
      disk.crash(disk.pendingWrites() == 0 ? 0 : random.nextInt(disk.pendingWrites() + 1));
      fleet.kill(name);
    }
  }

  /** Kills a gateway; all of its pending disk writes are lost. */
  void crash(String name) {
    gateways.remove(name);
    disks.get(name).crash(0);
    fleet.kill(name);
  }

  /** Shuts a gateway down in order, so that it releases its leases first. */
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

  /** Returns whether the gateway's voter has rejoined and caught up. */
  boolean isOperational(String voter) {
    return statements(voter).voter().orElseThrow().isOperational();
  }

  // ---- requests ----

  private void runOnGateway(String name, Consumer<GatewayFixture> action) {
    GatewayFixture gateway = gateways.get(name);
    if (gateway != null && !gateway.isPaused()) {
      action.accept(gateway);
      fleet.reschedule(name);
    }
  }

  void prepare(String at, Definition definition, Consumer<Outcome> onOutcome) {
    runOnGateway(
        at, gateway -> gateway.statements().prepare(gateway.localNow(), definition, onOutcome));
  }

  void drop(String at, String name, Consumer<Outcome> onOutcome) {
    runOnGateway(
        at,
        gateway ->
            gateway
                .statements()
                .drop(gateway.localNow(), name, Statements.ANY_GENERATION, onOutcome));
  }

  void announce(String at, Change change, Consumer<Outcome> onOutcome) {
    runOnGateway(
        at, gateway -> gateway.statements().announce(gateway.localNow(), change, onOutcome));
  }

  void withdraw(String at, long change, Consumer<Outcome> onOutcome) {
    runOnGateway(
        at, gateway -> gateway.statements().withdraw(gateway.localNow(), change, onOutcome));
  }

  /** Returns whether a gateway permits a run now: "yes" with the generation, or the reason. */
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

  /** Requests a run of a statement now; the audit counts its outcome. */
  void run(String at, String name) {
    runs.run(at, name);
  }

  // ---- state ----

  String time() {
    return fleet.now() / MS + " ms";
  }

  /** Returns the gateways that consider themselves leaders, joined by +; "none" without one. */
  String leader() {
    return gateways.values().stream()
        .filter(gateway -> !gateway.isPaused() && gateway.statements().isLeader())
        .map(GatewayFixture::name)
        .reduce((names, name) -> names + "+" + name)
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
        + ", waiting changes "
        + statements.catalog().waiting().keySet()
        + ", to be prepared again "
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

  /**
   * Continues the simulation until the condition is true.
   *
   * @return whether the condition became true within the timeout
   */
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

  /** Returns whether all gateways have the same catalog, and no request or change is pending. */
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
