package tillerlink.statements;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.Reachability;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;
import tillerlink.simulation.InMemoryKeyValueStore;
import tillerlink.simulation.SimulatedFleet;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.catalog.Snapshots;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseTerms;
import tillerlink.statements.prepare.Renaming;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;
import tillerlink.statements.testing.InjectedFault;

/** A fleet of gateways in virtual time that keep prepared statements, with load and an audit. */
final class TestCluster {
  static final long MS = 10;
  static final long SECOND = 10_000;
  private static final double DRIFT = 0.02;

  final SimulatedFleet fleet;
  final Audit audit = new Audit();
  final List<String> voters = new ArrayList<>();
  final List<String> all = new ArrayList<>();
  final List<String> notes = new ArrayList<>();
  private final SplittableRandom random;
  private final Set<InjectedFault> plants;
  private final Map<String, Gateway> gateways = new TreeMap<>();
  private final Map<String, InMemoryKeyValueStore> disks = new HashMap<>();
  private final Map<String, Double> rates = new HashMap<>();
  boolean vouched;
  long leaseLength = 10 * 1000;

  /**
   * Which share of attempts is over here while their engines are still at them; by a chance of its
   * own.
   */
  double inDoubt;

  /** How long an engine is at each attempt; 0: 2 to 42 ms. */
  long worksFor;

  private final SplittableRandom doubts;
  private int starts;
  private long diskTakes = 5;

  TestCluster(long seed, int voterCount, int others, InjectedFault... plants) {
    random = new SplittableRandom(seed);
    doubts = new SplittableRandom(~seed);
    this.plants = Set.of(plants);
    fleet = new SimulatedFleet(new Random(seed));
    for (int i = 1; i <= voterCount; i++) {
      voters.add("v" + i);
    }
    all.addAll(voters);
    for (int i = 1; i <= others; i++) {
      all.add("g" + i);
    }
  }

  /** Clocks run at rates of their own, within the bound. */
  void clocksDrift() {
    all.forEach(name -> rates.put(name, 1 + (random.nextDouble() * 2 - 1) * DRIFT));
  }

  /**
   * A process: its part by its own clock, and the attempts that wait to be written while it is
   * paused.
   */
  private final class Gateway implements ClusterComponent {
    final String name;
    final String process;
    final double rate;
    final ArrayDeque<Runnable> held = new ArrayDeque<>();
    Statements part;
    boolean paused;

    Gateway(String name) {
      this.name = name;
      process = name + "/" + ++starts;
      rate = rates.getOrDefault(name, 1.0);
    }

    long local(long at) {
      return (long) (at * rate);
    }

    @Override
    public void onMessage(long now, long wall, String from, byte[] body) {
      part.onMessage(local(now), wall, from, body);
      audit.sees(fleet.now(), process, part);
    }

    @Override
    public void tick(long now, long wall) {
      part.tick(local(now), wall);
      audit.sees(fleet.now(), process, part);
    }

    @Override
    public long nextDueAt() {
      long due = part.nextDueAt();
      return due == Long.MAX_VALUE ? due : (long) Math.ceil(due / rate) + 1;
    }

    @Override
    public void onPause(long now, long wall, long lasted) {
      part.onPause(local(now), wall, lasted);
    }
  }

  private record Names(String self, List<String> all) implements MembershipView {
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
    start(name, disk == null ? new InMemoryKeyValueStore(fleet, 5) : disk.reopened());
  }

  void startEmpty(String name) {
    start(name, new InMemoryKeyValueStore(fleet, 5));
  }

  void startOld(String name, NavigableMap<String, byte[]> copy) {
    start(name, InMemoryKeyValueStore.of(fleet, 5, copy));
  }

  NavigableMap<String, byte[]> copyOf(String name) {
    return disks.get(name).copy();
  }

  InMemoryKeyValueStore disk(String name) {
    return disks.get(name);
  }

  private void start(String name, InMemoryKeyValueStore disk) {
    kill(name);
    Gateway gateway = new Gateway(name);
    disks.put(name, disk);
    LeaseTerms lease = new LeaseTerms(leaseLength, DRIFT, 50);
    KeyValueStore keep =
        new KeyValueStore() {
          @Override
          public NavigableMap<String, byte[]> initialEntries() {
            return disk.initialEntries();
          }

          @Override
          public boolean set(String key, byte[] value, Runnable kept) {
            if (diskTakes > 5 && value != null) {
              // Handed over, and not kept for long.
              fleet.at(fleet.now() + diskTakes, () -> disk.set(key, value, kept));
              return true;
            }
            return disk.set(
                key,
                value,
                () -> {
                  kept.run();
                  if (gateways.get(name) == gateway) {
                    fleet.touched(name);
                  }
                });
          }
        };
    try {
      gateway.part =
          new Statements(
              new StatementTerms(voters, lease, new RaftConfig(vouched, plants)),
              new Names(name, all),
              fleet.post(name),
              keep,
              new Random(random.nextLong()),
              new Renaming(),
              words -> notes.add(at() + " " + name + ": " + words));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
    gateways.put(name, gateway);
    fleet.start(name, gateway);
  }

  void kill(String name) {
    if (gateways.remove(name) != null) {
      InMemoryKeyValueStore disk = disks.get(name);
      disk.crash(disk.inDoubt() == 0 ? 0 : random.nextInt(disk.inDoubt() + 1));
      fleet.kill(name);
    }
  }

  /** With nothing of what its disk had not kept yet. */
  void crash(String name) {
    gateways.remove(name);
    disks.get(name).crash(0);
    fleet.kill(name);
  }

  /** From now on what a disk is handed is kept so much later. */
  void slowDisks(long later) {
    diskTakes = later;
  }

  /** It ends as it is told to. */
  void leave(String name) {
    Gateway gateway = gateways.get(name);
    gateway.part.releaseLeases(gateway.local(fleet.now()));
    kill(name);
  }

  boolean isUp(String name) {
    return gateways.containsKey(name);
  }

  boolean isPaused(String name) {
    return isUp(name) && gateways.get(name).paused;
  }

  void pause(String name) {
    gateways.get(name).paused = true;
    fleet.pause(name);
  }

  void resume(String name) {
    Gateway gateway = gateways.get(name);
    if (gateway != null && gateway.paused) {
      gateway.paused = false;
      fleet.resume(name);
      while (!gateway.held.isEmpty()) {
        gateway.held.poll().run();
      }
    }
  }

  Statements part(String name) {
    return gateways.get(name).part;
  }

  // ---- what is asked ----

  private void ask(String name, Consumer<Gateway> what) {
    Gateway gateway = gateways.get(name);
    if (gateway != null && !gateway.paused) {
      what.accept(gateway);
      fleet.touched(name);
    }
  }

  void prepare(String at, Definition definition, Consumer<Outcome> told) {
    ask(at, it -> it.part.prepare(it.local(fleet.now()), definition, told));
  }

  void drop(String at, String name, Consumer<Outcome> told) {
    ask(at, it -> it.part.drop(it.local(fleet.now()), name, -1, told));
  }

  void announce(String at, Change change, Consumer<Outcome> told) {
    ask(at, it -> it.part.announce(it.local(fleet.now()), change, told));
  }

  void takeBack(String at, long change, Consumer<Outcome> told) {
    ask(at, it -> it.part.withdraw(it.local(fleet.now()), change, told));
  }

  /** What a gateway says of a run now: yes, or why not. */
  String mayRun(String at, String name) {
    Gateway gateway = gateways.get(at);
    if (gateway == null) {
      return "down";
    }
    if (gateway.paused) {
      return "paused";
    }
    Prepared prepared = gateway.part.lookUp(name).orElse(null);
    Permission permission =
        prepared == null ? null : gateway.part.checkRun(gateway.local(fleet.now()), prepared);
    fleet.touched(at);
    return permission == null
        ? "unknown name"
        : permission instanceof Permission.Denied denied
            ? denied.reason().toString().toLowerCase(java.util.Locale.ROOT)
            : "yes, generation " + prepared.generation();
  }

  /**
   * A request: asked when it comes, its attempt written a little later, asked again after the
   * write.
   */
  void run(String at, String name) {
    Gateway gateway = gateways.get(at);
    if (gateway == null || gateway.paused) {
      return;
    }
    Prepared prepared = gateway.part.lookUp(name).orElse(null);
    fleet.touched(at);
    if (prepared == null
        || gateway.part.checkRun(gateway.local(fleet.now()), prepared)
            instanceof Permission.Denied) {
      audit.turnedBack++;
      return;
    }
    fleet.at(fleet.now() + random.nextInt(30), () -> write(gateway, prepared));
  }

  private void write(Gateway gateway, Prepared prepared) {
    if (gateways.get(gateway.name) != gateway) {
      return;
    }
    if (gateway.paused) {
      gateway.held.add(() -> write(gateway, prepared));
    } else if (gateway.part.checkRun(gateway.local(fleet.now()), prepared)
        instanceof Permission.Granted granted) {
      gateway.part.onAttemptStarted(prepared);
      audit.ran(fleet.now(), gateway.name, prepared);
      engineBegins(gateway, prepared, (long) Math.floor(granted.until() / gateway.rate));
    } else {
      audit.calledOff++;
    }
  }

  /**
   * Its engine is at an attempt for some time; the gateway hears when that is over, or gives the
   * attempt up before.
   */
  private void engineBegins(Gateway gateway, Prepared prepared, long leaseUntil) {
    Audit.Attempt attempt = audit.begins(gateway.name, prepared, leaseUntil);
    long doneAt = fleet.now() + (worksFor > 0 ? worksFor : 20 + random.nextInt(400));
    if (inDoubt > 0 && doubts.nextDouble() < inDoubt) {
      long limit = doneAt + doubts.nextInt(5000);
      fleet.at(doneAt, () -> over(gateway, prepared, limit));
      fleet.at(limit, () -> audit.ends(attempt));
    } else {
      fleet.at(
          doneAt,
          () -> {
            audit.ends(attempt);
            over(gateway, prepared, 0);
          });
    }
  }

  private void over(Gateway gateway, Prepared prepared, long mayRunUntil) {
    if (gateways.get(gateway.name) != gateway) {
      return;
    }
    if (gateway.paused) {
      gateway.held.add(() -> over(gateway, prepared, mayRunUntil));
      return;
    }
    long limit = mayRunUntil == 0 ? 0 : Math.max(1, gateway.local(mayRunUntil));
    gateway.part.onAttemptEnded(gateway.local(fleet.now()), prepared, limit);
    ask(gateway.name, it -> {});
  }

  // ---- definitions ----

  static Definition definition(String name, String text, int... groups) {
    List<Integer> some = new ArrayList<>();
    for (int group : groups) {
      some.add(group);
    }
    List<String> uses = some.stream().map(group -> group + ":orders.city").toList();
    return new Definition(
        name,
        text + " where city = $1",
        List.of(ParameterType.TEXT),
        some,
        uses,
        "dash",
        RunEffect.PURE);
  }

  static Change untouched(Integer... groups) {
    return new Change(List.of(groups), List.of(), List.of(), new TreeMap<>());
  }

  static Change altered(int group) {
    return new Change(List.of(group), List.of(), List.of(group + ":orders.city"), new TreeMap<>());
  }

  static Change removed(int group) {
    return new Change(List.of(group), List.of(group + ":orders.city"), List.of(), new TreeMap<>());
  }

  static Change renamed(int group, String to) {
    return new Change(
        List.of(group),
        List.of(),
        List.of(),
        new TreeMap<>(Map.of(group + ":orders.city", group + ":orders." + to)));
  }

  // ---- how it stands ----

  String at() {
    return fleet.now() / 10 + " ms";
  }

  String leader() {
    return gateways.values().stream()
        .filter(it -> !it.paused && it.part.isLeader())
        .map(it -> it.name)
        .reduce((one, other) -> one + "+" + other)
        .orElse("none");
  }

  String told(String name) {
    if (!isUp(name)) {
      return name + " is down";
    }
    Statements part = part(name);
    return name
        + ": applied "
        + part.catalog().applied()
        + ", waiting "
        + part.catalog().waiting().keySet()
        + ", anew "
        + part.catalog().waitingAnew().size()
        + ", idle "
        + part.isIdle()
        + part.voter()
            .map(
                it ->
                    ", term "
                        + it.term()
                        + ", commit "
                        + it.commitIndex()
                        + ", leader "
                        + it.leader().orElse("none")
                        + (it.isOperational() ? "" : ", not operational")
                        + ", rejoined at "
                        + it.rejoinedAt())
            .orElse("");
  }

  /** Plays on until it holds; false if it doesn't in that time. */
  boolean until(long most, java.util.function.BooleanSupplier holds) {
    long end = fleet.now() + most;
    while (!holds.getAsBoolean()) {
      if (fleet.now() >= end) {
        return false;
      }
      fleet.playFor(5 * MS);
    }
    return true;
  }

  boolean agree() {
    Set<String> states = new HashSet<>();
    for (Gateway gateway : gateways.values()) {
      states.add(
          new String(
              Snapshots.write(gateway.part.catalog()),
              java.nio.charset.StandardCharsets.ISO_8859_1));
      if (!gateway.part.isIdle() || !gateway.part.catalog().waiting().isEmpty()) {
        return false;
      }
    }
    return states.size() == 1;
  }
}
