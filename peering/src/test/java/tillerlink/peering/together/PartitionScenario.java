package tillerlink.peering.together;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import tillerlink.channels.Page;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.cluster.Reachability;
import tillerlink.messages.channels.Kind;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;
import tillerlink.simulation.Fault;
import tillerlink.simulation.InMemoryKeyValueStore;
import tillerlink.simulation.Seeds;
import tillerlink.simulation.SimulatedFleet;
import tillerlink.statements.catalog.Snapshots;
import tillerlink.statements.run.Permission;

/**
 * Membership, channels and statements on the same gateways: load on each, one partition, perhaps a
 * pause or a kill in it; afterwards all gateways agree.
 */
final class PartitionScenario implements Seeds.Seeded {
  private static final long SECOND = 10_000;
  private static final int AGREED_WITHIN_SECONDS = 120;
  private static final List<String> ALL = List.of("n1", "s1", "w1", "w2");
  private static final String CHANNEL = "news";

  private final Random random;
  private final SimulatedFleet fleet;
  private final Map<String, SimulatedGateway> running = new TreeMap<>();
  private final Map<String, InMemoryKeyValueStore> disks = new TreeMap<>();
  private final List<String> trace = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<Long, String> stable = new TreeMap<>();
  private final Set<String> answered = new HashSet<>();
  private final Map<Integer, Long> newest = new TreeMap<>();
  private long runs;
  private long rejected;
  private long agreedAfter;

  PartitionScenario(long seed) {
    random = new Random(seed);
    fleet = new SimulatedFleet(new Random(seed + 1));
  }

  private void log(String words) {
    trace.add(fleet.now() / 10 + " ms: " + words);
  }

  private String randomName() {
    return ALL.get(random.nextInt(ALL.size()));
  }

  private void start(String name) {
    InMemoryKeyValueStore was = disks.get(name);
    InMemoryKeyValueStore disk = was == null ? new InMemoryKeyValueStore(fleet, 5) : was.reopen();
    disks.put(name, disk);
    SimulatedGateway gateway =
        new SimulatedGateway(name, fleet, disk, random, this::recordVersions);
    running.put(name, gateway);
    fleet.start(name, gateway);
  }

  private void kill(String name) {
    log("kill " + name);
    running.remove(name).detach();
    fleet.kill(name);
    InMemoryKeyValueStore disk = disks.get(name);
    disk.crash(disk.pendingWrites() == 0 ? 0 : random.nextInt(disk.pendingWrites() + 1));
  }

  /** Records the newest schema version that any gateway has applied. */
  private void recordVersions() {
    running
        .values()
        .forEach(
            gateway ->
                gateway
                    .statements
                    .catalog()
                    .versions()
                    .forEach((group, version) -> newest.merge(group, version, Math::max)));
  }

  // ---- load ----

  private void load(int rounds) {
    for (int i = 0; i < rounds; i++) {
      append(randomName(), i);
      ALL.forEach(this::run);
      fleet.playFor(500 + random.nextInt(5_000));
      checkStable(randomName());
    }
  }

  private void append(String name, int n) {
    if (running.containsKey(name)) {
      AppendRequest draft =
          new AppendRequest(Kind.CUE, "c" + random.nextInt(4), "t" + n, 0, "", null);
      running
          .get(name)
          .channels
          .append(
              fleet.now(),
              fleet.wall(name),
              CHANNEL,
              draft,
              answer -> {
                if (answer instanceof AppendResult.Taken taken) {
                  answered.add(taken.id().text());
                }
              });
      fleet.reschedule(name);
    }
  }

  private void run(String name) {
    SimulatedGateway gateway = running.get(name);
    if (gateway == null || paused.contains(name)) {
      return;
    }
    gateway
        .statements
        .lookUp("q")
        .ifPresent(
            prepared -> {
              if (gateway.statements.checkRun(fleet.now(), prepared)
                  instanceof Permission.Granted) {
                runs++;
                prepared
                    .versions()
                    .forEach(
                        (group, version) -> {
                          if (version < newest.getOrDefault(group, 1L)) {
                            violations.add(
                                fleet.now() / 10
                                    + " ms: "
                                    + name
                                    + " runs under version "
                                    + version
                                    + " of group "
                                    + group);
                          }
                        });
              } else {
                rejected++;
              }
            });
    fleet.reschedule(name);
  }

  private final Set<String> paused = new HashSet<>();

  private Page page(String name) {
    return running.get(name).channels.read(CHANNEL, 0, 1 << 30);
  }

  /** An event that was stable once must stay so at its index. */
  private void checkStable(String name) {
    if (running.containsKey(name) && running.get(name).channels.names().contains(CHANNEL)) {
      page(name).lines().stream()
          .filter(Page.Line::stable)
          .forEach(
              line -> {
                String is = line.entry().dot().text() + " " + line.entry().text();
                String was = stable.putIfAbsent(line.index(), is);
                if (was != null && !was.equals(is)) {
                  violations.add(
                      "stable " + line.index() + " was " + was + " and is " + is + " at " + name);
                }
              });
    }
  }

  // ---- faults ----

  @Override
  public String play() {
    ALL.forEach(this::start);
    fleet.playFor(3 * SECOND);
    Definition definition =
        new Definition(
            "q",
            "select 1 from orders_17.orders where city = $1",
            List.of(ParameterType.TEXT),
            List.of(17),
            List.of("17:orders.city"),
            "dash",
            RunEffect.PURE);
    running
        .get(randomName())
        .statements
        .prepare(fleet.now(), definition, outcome -> log("prepared: " + outcome));
    fleet.playFor(2 * SECOND);
    load(3);
    partition();
    announce();
    load(3);
    pauseOrKill(randomName());
    // Some partitions last until the others are given up, some don't.
    fleet.playFor(8L * SECOND * random.nextInt(4));
    load(4);
    heal();
    for (int i = 0; i < AGREED_WITHIN_SECONDS && !agree(); i++) {
      fleet.playFor(SECOND);
      agreedAfter++;
      ALL.forEach(this::checkStable);
    }
    ALL.forEach(this::run);
    return verdict();
  }

  private void partition() {
    List<String> side = new ArrayList<>(List.of(randomName()));
    if (random.nextBoolean()) {
      side.add(randomName());
    }
    log("cut off " + side);
    for (String one : side) {
      ALL.stream()
          .filter(other -> !side.contains(other))
          .forEach(other -> fleet.between(one, other, Fault.CUT));
    }
  }

  private void announce() {
    String at = randomName();
    log("announce a change at " + at);
    running
        .get(at)
        .statements
        .announce(
            fleet.now(),
            new Change(List.of(17), List.of(), List.of(), new TreeMap<>()),
            outcome -> log("announced: " + outcome));
    fleet.reschedule(at);
  }

  private void pauseOrKill(String name) {
    switch (random.nextInt(3)) {
      case 0 -> kill(name);
      case 1 -> {
        log("pause " + name);
        paused.add(name);
        fleet.pause(name);
      }
      default -> log("nothing else");
    }
  }

  private void heal() {
    log("all heals");
    fleet.heal();
    for (String name : ALL) {
      if (!running.containsKey(name)) {
        start(name);
      }
      fleet.resume(name);
    }
    paused.clear();
  }

  // ---- the end ----

  /** Why the gateways do not agree yet; empty if they do. */
  private String disagreement() {
    Set<String> logs = new HashSet<>();
    Set<String> catalogs = new HashSet<>();
    for (String name : ALL) {
      SimulatedGateway gateway = running.get(name);
      for (String other : ALL) {
        if (!other.equals(name) && gateway.members.reachability(other) != Reachability.REACHABLE) {
          return name + " holds " + other + " as " + gateway.members.reachability(other);
        }
      }
      Page page = page(name);
      if (page.stable() != page.first() + page.lines().size()) {
        return name + " has provisional events";
      }
      logs.add(page.lines().stream().map(line -> line.entry().dot().text()).toList().toString());
      catalogs.add(
          new String(Snapshots.write(gateway.statements.catalog()), StandardCharsets.ISO_8859_1));
      if (!gateway.statements.isIdle() || !gateway.statements.catalog().waiting().isEmpty()) {
        return name + " has something outstanding among statements";
      }
    }
    return logs.size() > 1 ? "logs differ" : catalogs.size() > 1 ? "catalogs differ" : "";
  }

  private boolean agree() {
    return disagreement().isEmpty();
  }

  private String verdict() {
    Set<String> present = new HashSet<>();
    page("n1").lines().forEach(line -> present.add(line.entry().dot().text()));
    if (!present.containsAll(answered)) {
      violations.add(
          "answered and lost: "
              + answered.stream().filter(id -> !present.contains(id)).sorted().toList());
    }
    if (!agree()) {
      violations.add("no agreement in " + AGREED_WITHIN_SECONDS + " s: " + disagreement());
    }
    return violations.isEmpty()
        ? null
        : violations.subList(0, Math.min(3, violations.size())).toString();
  }

  @Override
  public String trace() {
    return String.join("\n", trace);
  }

  @Override
  public long[] sums() {
    return new long[] {
      answered.size(), runs, rejected, newest.getOrDefault(17, 1L) - 1, agreedAfter
    };
  }
}
