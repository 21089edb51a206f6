package tillerlink.statements;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SplittableRandom;
import tillerlink.messages.statements.Change;
import tillerlink.simulation.Fault;
import tillerlink.statements.catalog.State;
import tillerlink.statements.testing.InjectedFault;

/**
 * One seeded history: load, changes and faults at random, then everything heals and all gateways
 * must have the same catalog.
 */
final class History {
  static final List<String> NAMES = List.of("a", "b", "c", "d");

  private static final double UNCERTAIN_SHARE = 0.02;

  final ClusterFixture cluster;
  final List<String> events = new ArrayList<>();
  private final SplittableRandom random;
  private final Map<String, NavigableMap<String, byte[]>> copies = new HashMap<>();
  private final List<Long> changes = new ArrayList<>();

  /** The voter that was last started from an empty or an old disk: one at a time. */
  private String restoredVoter;

  private long restoredUntil;
  private int faults;
  private boolean loaded = true;

  History(long seed, InjectedFault... injectedFaults) {
    random = new SplittableRandom(seed * 31 + 7);
    int voterCount = random.nextInt(4) == 0 ? 5 : 3;
    cluster = new ClusterFixture(seed, voterCount, 2 + random.nextInt(3), injectedFaults);
    cluster.setLeaseLength(ClusterFixture.MS * (300 + random.nextInt(1500)));
    cluster.setUncertainShare(UNCERTAIN_SHARE);
  }

  /** A short history, of a cluster of a given size. */
  History(long seed, int voters, int others) {
    random = new SplittableRandom(seed * 31 + 7);
    cluster = new ClusterFixture(seed, voters, others);
    cluster.setLeaseLength(ClusterFixture.MS * (300 + random.nextInt(1000)));
    cluster.setUncertainShare(UNCERTAIN_SHARE);
  }

  /** Faults that a short history injected. */
  int faults() {
    return faults;
  }

  private <T> T any(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private void record(String event) {
    events.add(cluster.time() + " " + event);
  }

  /** Plays for that long, then until all is settled; returns what was wrong, or null. */
  String play(long duration) {
    cluster.clocksDrift();
    cluster.startAll();
    if (!cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader)) {
      return "no leader at the start";
    }
    for (String name : NAMES) {
      prepare(name);
    }
    cluster.fleet.playFor(ClusterFixture.SECOND);
    load();
    long end = cluster.fleet.now() + duration;
    while (cluster.fleet.now() < end) {
      step();
      cluster.fleet.playFor(ClusterFixture.MS * random.nextInt(10, 400));
      if (!cluster.audit.violations().isEmpty()) {
        return cluster.audit.violations().get(0);
      }
    }
    return heal();
  }

  /**
   * One or two statements, runs all along, one change, one or two faults before or after it; then
   * the usual end.
   */
  String playShortly() {
    cluster.clocksDrift();
    cluster.startAll();
    if (!cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader)) {
      return "no leader at the start";
    }
    prepare(NAMES.get(0));
    prepare(NAMES.get(1));
    cluster.fleet.playFor(ClusterFixture.SECOND / 2);
    load();
    int before = random.nextInt(3);
    for (int i = 0; i < 3; i++) {
      if (i == 1) {
        announce();
      } else if (before == 2 || i == before * 2) {
        faults++;
        fault();
      }
      cluster.fleet.playFor(ClusterFixture.MS * random.nextInt(10, 600));
    }
    return heal();
  }

  private void fault() {
    switch (random.nextInt(8)) {
      case 0 -> pause(any(cluster.all));
      case 1 -> kill(any(cluster.all));
      case 2 -> cut(any(cluster.all), any(cluster.all));
      case 3 -> partition();
      case 4 -> restartFromOtherDisk();
      case 5 -> pause(cluster.leader());
      case 6 -> kill(cluster.leader());
      default -> {
        record("links are bad");
        cluster.fleet.setDefaultFault(Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)));
      }
    }
  }

  private void announce() {
    String at = any(cluster.all);
    record("announce at " + at);
    cluster.announce(at, change(), outcome -> changes.add(outcome.id()));
  }

  private void load() {
    cluster.all.forEach(this::load);
  }

  private void load(String at) {
    if (loaded) {
      cluster.run(at, any(NAMES));
      cluster.fleet.at(
          cluster.fleet.now() + ClusterFixture.MS * random.nextInt(5, 60), () -> load(at));
    }
  }

  private void prepare(String name) {
    int group = 17 + random.nextInt(3);
    String text = "select " + random.nextInt(1000) + " from orders_" + group + ".orders";
    boolean two = random.nextInt(3) == 0;
    String at = any(cluster.all);
    record("prepare " + name + " at " + at);
    cluster.prepare(
        at,
        two
            ? Fixtures.definition(name, text, group, group == 17 ? 18 : 17)
            : Fixtures.definition(name, text, group),
        any -> {});
  }

  private Change change() {
    int group = 17 + random.nextInt(3);
    return switch (random.nextInt(6)) {
      case 0 -> Fixtures.removed(group);
      case 1 -> Fixtures.renamed(group, "t" + random.nextInt(100));
      case 2 -> Fixtures.altered(group);
      case 3 -> Fixtures.untouched(group, group == 17 ? 18 : 17);
      default -> Fixtures.untouched(group);
    };
  }

  private void step() {
    switch (random.nextInt(16)) {
      case 0, 1 -> prepare(any(NAMES));
      case 2 -> {
        record("drop");
        cluster.drop(any(cluster.all), any(NAMES), any -> {});
      }
      case 3, 4, 5 -> announce();
      case 6 -> {
        if (!changes.isEmpty()) {
          record("take back");
          cluster.withdraw(any(cluster.all), changes.get(changes.size() - 1), any -> {});
        }
      }
      case 7 -> pause(any(cluster.all));
      case 8 -> kill(any(cluster.all));
      case 9 -> cut(any(cluster.all), any(cluster.all));
      case 10 -> partition();
      case 11 -> {
        record("links heal");
        cluster.fleet.heal();
        cluster.fleet.setDefaultFault(
            random.nextInt(3) == 0 ? Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)) : Fault.NONE);
      }
      case 12 -> {
        String voter = any(cluster.voters);
        if (cluster.isUp(voter)) {
          copies.put(voter, cluster.copyDisk(voter));
        }
      }
      case 13 -> restartFromOtherDisk();
      case 14 -> {
        String leader = cluster.leader();
        if (cluster.isUp(leader)) {
          record("the leader is hit");
          if (random.nextBoolean()) {
            kill(leader);
          } else {
            pause(leader);
          }
        }
      }
      default -> cluster.fleet.playFor(ClusterFixture.MS * random.nextInt(500));
    }
  }

  private void pause(String name) {
    if (cluster.isUp(name) && !cluster.isPaused(name)) {
      record("pause " + name);
      cluster.pause(name);
      cluster.fleet.at(
          cluster.fleet.now() + ClusterFixture.MS * random.nextInt(10, 4000),
          () -> cluster.resume(name));
    }
  }

  /** Whether the last voter that was started from another disk is as good as the others again. */
  private boolean isWhole() {
    return restoredVoter == null
        || (cluster.isUp(restoredVoter)
            && cluster.isOperational(restoredVoter)
            && cluster.fleet.now() > restoredUntil);
  }

  /**
   * While a voter comes back from an empty or an old disk, no other voter is killed: that would be
   * two at once.
   */
  private void kill(String name) {
    if (cluster.isUp(name) && (isWhole() || !cluster.voters.contains(name))) {
      record("kill " + name);
      cluster.kill(name);
      cluster.fleet.at(
          cluster.fleet.now() + ClusterFixture.MS * random.nextInt(10, 3000),
          () -> {
            if (!cluster.isUp(name)) {
              record("start " + name);
              cluster.start(name);
            }
          });
    }
  }

  private void cut(String from, String to) {
    record("cut " + from + " to " + to);
    cluster.fleet.link(from, to, Fault.CUT);
  }

  private void partition() {
    String one = any(cluster.all);
    boolean both = random.nextBoolean();
    record("part " + one + (both ? " and another" : ""));
    String two = both ? any(cluster.all) : one;
    for (String other : cluster.all) {
      if (!other.equals(one) && !other.equals(two)) {
        cluster.fleet.between(one, other, Fault.CUT);
        cluster.fleet.between(two, other, Fault.CUT);
      }
    }
  }

  /**
   * One voter at a time from an empty or an old disk; the next only once it is back and as good as
   * the others.
   */
  private void restartFromOtherDisk() {
    boolean whole = isWhole();
    String name = any(cluster.voters);
    boolean operational =
        cluster.voters.stream()
            .allMatch(voter -> cluster.isUp(voter) && cluster.isOperational(voter));
    if (!whole || !cluster.isUp(name) || !operational) {
      return;
    }
    restoredVoter = name;
    restoredUntil = cluster.fleet.now() + ClusterFixture.SECOND;
    cluster.kill(name);
    NavigableMap<String, byte[]> copy = copies.get(name);
    if (copy != null && random.nextBoolean()) {
      record("start " + name + " from an old disk");
      cluster.startFromCopy(name, copy);
    } else {
      record("start " + name + " from an empty disk");
      copies.remove(name);
      cluster.startFromEmptyDisk(name);
    }
  }

  private String heal() {
    record("all heals");
    cluster.fleet.heal();
    cluster.fleet.setDefaultFault(Fault.NONE);
    for (String name : cluster.all) {
      if (!cluster.isUp(name)) {
        cluster.start(name);
      }
      cluster.resume(name);
    }
    boolean converged = cluster.playUntil(60 * ClusterFixture.SECOND, cluster::hasConverged);
    loaded = false;
    if (!cluster.audit.violations().isEmpty()) {
      return cluster.audit.violations().get(0);
    }
    if (!converged) {
      return "no agreement: leader " + cluster.leader();
    }
    for (String name : NAMES) {
      boolean ready =
          cluster
              .statements("g1")
              .catalog()
              .find(name)
              .filter(entry -> entry.state() == State.READY)
              .isPresent();
      for (String at : cluster.all) {
        if (ready
            && !cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun(at, name))) {
          return at + " can't run " + name + " in a calm fleet: " + cluster.runState(at, name);
        }
      }
    }
    return cluster.audit.violations().isEmpty() ? null : cluster.audit.violations().get(0);
  }
}
