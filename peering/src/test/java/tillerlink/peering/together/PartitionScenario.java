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
 * A scenario with membership, channels and statements on the same gateways. All components are
 * under load during one network partition, in which one gateway may be paused or killed. After the
 * partition has healed, all gateways must agree.
 */
final class PartitionScenario implements Seeds.Seeded {
  private static final long SECOND = 10_000;
  private static final int MAX_AGREEMENT_SECONDS = 120;
  private static final List<String> GATEWAYS = List.of("n1", "s1", "w1", "w2");
  private static final String CHANNEL = "news";

  private final Random random;
  private final SimulatedFleet fleet;
  private final Map<String, SimulatedGateway> runningGateways = new TreeMap<>();
  private final Map<String, InMemoryKeyValueStore> disks = new TreeMap<>();
  private final List<String> trace = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<Long, String> stableEvents = new TreeMap<>();
  private final Set<String> answeredIds = new HashSet<>();
  private final Map<Integer, Long> newestVersions = new TreeMap<>();
  private long runs;
  private long rejected;
  private long agreementSeconds;

  PartitionScenario(long seed) {
    random = new Random(seed);
    fleet = new SimulatedFleet(new Random(seed + 1));
  }

  private void log(String event) {
    trace.add(fleet.now() / 10 + " ms: " + event);
  }

  private String randomName() {
    return GATEWAYS.get(random.nextInt(GATEWAYS.size()));
  }

  private void start(String name) {
    InMemoryKeyValueStore previousDisk = disks.get(name);
    InMemoryKeyValueStore disk =
        previousDisk == null ? new InMemoryKeyValueStore(fleet, 5) : previousDisk.reopen();
    disks.put(name, disk);
    SimulatedGateway gateway =
        new SimulatedGateway(name, fleet, disk, random, this::recordVersions);
    runningGateways.put(name, gateway);
    fleet.start(name, gateway);
  }

  private void kill(String name) {
    log("kill " + name);
    runningGateways.remove(name).detach();
    fleet.kill(name);
    InMemoryKeyValueStore disk = disks.get(name);
    disk.crash(disk.pendingWrites() == 0 ? 0 : random.nextInt(disk.pendingWrites() + 1));
  }

  /** Records the newest schema version that any running gateway has applied for each group. */
  private void recordVersions() {
    runningGateways
        .values()
        .forEach(
            gateway ->
                gateway
                    .statements
                    .catalog()
                    .versions()
                    .forEach((group, version) -> newestVersions.merge(group, version, Math::max)));
  }

  // ---- load ----

  private void load(int rounds) {
    for (int i = 0; i < rounds; i++) {
      append(randomName(), i);
      GATEWAYS.forEach(this::run);
      fleet.playFor(500 + random.nextInt(5_000));
      checkStable(randomName());
    }
  }

  private void append(String name, int number) {
    if (runningGateways.containsKey(name)) {
      AppendRequest draft =
          new AppendRequest(Kind.CUE, "c" + random.nextInt(4), "t" + number, 0, "", null);
      runningGateways
          .get(name)
          .channels
          .append(
              fleet.now(),
              fleet.wall(name),
              CHANNEL,
              draft,
              answer -> {
                if (answer instanceof AppendResult.Taken taken) {
                  answeredIds.add(taken.id().text());
                }
              });
      fleet.reschedule(name);
    }
  }

  private void run(String name) {
    SimulatedGateway gateway = runningGateways.get(name);
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
                          if (version < newestVersions.getOrDefault(group, 1L)) {
                            violations.add(
                                fleet.now() / 10
                                    + " ms: "
                                    + name
                                    + " may run a statement under outdated version "
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
    return runningGateways.get(name).channels.read(CHANNEL, 0, 1 << 30);
  }

  /** Checks that events that were reported stable are unchanged at their index. */
  private void checkStable(String name) {
    if (runningGateways.containsKey(name)
        && runningGateways.get(name).channels.names().contains(CHANNEL)) {
      page(name).lines().stream()
          .filter(Page.Line::stable)
          .forEach(
              line -> {
                String current = line.entry().dot().text() + " " + line.entry().text();
                String recorded = stableEvents.putIfAbsent(line.index(), current);
                if (recorded != null && !recorded.equals(current)) {
                  violations.add(
                      "stable event at index "
                          + line.index()
                          + " was "
                          + recorded
                          + " and is "
                          + current
                          + " at "
                          + name);
                }
              });
    }
  }

  // ---- faults ----

  @Override
  public String play() {
    GATEWAYS.forEach(this::start);
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
    runningGateways
        .get(randomName())
        .statements
        .prepare(fleet.now(), definition, outcome -> log("prepared: " + outcome));
    fleet.playFor(2 * SECOND);
    load(3);
    partition();
    announce();
    load(3);
    pauseOrKill(randomName());
    // Some partitions last until the unreachable members are declared gone, others are shorter.
    fleet.playFor(8L * SECOND * random.nextInt(4));
    load(4);
    heal();
    for (int i = 0; i < MAX_AGREEMENT_SECONDS && !agree(); i++) {
      fleet.playFor(SECOND);
      agreementSeconds++;
      GATEWAYS.forEach(this::checkStable);
    }
    GATEWAYS.forEach(this::run);
    return verdict();
  }

  private void partition() {
    List<String> side = new ArrayList<>(List.of(randomName()));
    if (random.nextBoolean()) {
      side.add(randomName());
    }
    log("partition off " + side);
    for (String inside : side) {
      GATEWAYS.stream()
          .filter(outside -> !side.contains(outside))
          .forEach(outside -> fleet.between(inside, outside, Fault.CUT));
    }
  }

  private void announce() {
    String at = randomName();
    log("announce a change at " + at);
    runningGateways
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
      default -> log("no pause or kill");
    }
  }

  private void heal() {
    log("heal all faults");
    fleet.heal();
    for (String name : GATEWAYS) {
      if (!runningGateways.containsKey(name)) {
        start(name);
      }
      fleet.resume(name);
    }
    paused.clear();
  }

  // ---- agreement ----

  /** Returns the reason why the gateways do not agree yet, or an empty string if they agree. */
  private String disagreement() {
    Set<String> logs = new HashSet<>();
    Set<String> catalogs = new HashSet<>();
    for (String name : GATEWAYS) {
      SimulatedGateway gateway = runningGateways.get(name);
      for (String other : GATEWAYS) {
        if (!other.equals(name) && gateway.members.reachability(other) != Reachability.REACHABLE) {
          return name + " reports " + other + " as " + gateway.members.reachability(other);
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
        return name + " has pending statement requests or schema changes";
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
    if (!present.containsAll(answeredIds)) {
      violations.add(
          "answered appends that were lost: "
              + answeredIds.stream().filter(id -> !present.contains(id)).sorted().toList());
    }
    if (!agree()) {
      violations.add("no agreement within " + MAX_AGREEMENT_SECONDS + " s: " + disagreement());
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
      answeredIds.size(), runs, rejected, newestVersions.getOrDefault(17, 1L) - 1, agreementSeconds
    };
  }
}
