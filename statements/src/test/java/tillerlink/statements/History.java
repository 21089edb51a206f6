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
 * One seeded history. Load, changes and faults are drawn at random; then all faults are healed, and
 * all gateways must converge to the same catalog.
 */
final class History {
  static final List<String> STATEMENT_NAMES = List.of("a", "b", "c", "d");

  private static final double UNCERTAIN_SHARE = 0.02;

  final ClusterFixture cluster;
  final List<String> events = new ArrayList<>();
  private final SplittableRandom random;
  private final Map<String, NavigableMap<String, byte[]>> diskCopies = new HashMap<>();
  private final List<Long> changes = new ArrayList<>();

  /** The voter that was last started from an empty or an old disk; one at a time. */
  private String restoredVoter;

  private long restoredUntil;
  private int faults;
  private boolean loadRunning = true;

  /** Creates a history of a cluster of random size. */
  History(long seed, InjectedFault... injectedFaults) {
    random = new SplittableRandom(seed * 31 + 7);
    int voterCount = random.nextInt(4) == 0 ? 5 : 3;
    cluster = new ClusterFixture(seed, voterCount, 2 + random.nextInt(3), injectedFaults);
    cluster.setLeaseLength(ClusterFixture.MS * (300 + random.nextInt(1500)));
    cluster.setUncertainShare(UNCERTAIN_SHARE);
  }

  /** Creates a short history of a cluster of the given size. */
  History(long seed, int voters, int learners) {
    random = new SplittableRandom(seed * 31 + 7);
    cluster = new ClusterFixture(seed, voters, learners);
    cluster.setLeaseLength(ClusterFixture.MS * (300 + random.nextInt(1000)));
    cluster.setUncertainShare(UNCERTAIN_SHARE);
  }

  /** Returns the number of faults in a short history. */
  int faults() {
    return faults;
  }

  private <T> T pick(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private void record(String event) {
    events.add(cluster.time() + " " + event);
  }

  /**
   * Plays random steps for the duration, then heals all faults and waits until the cluster has
   * converged.
   *
   * @return a description of the failure; null if there is no failure
   */
  String play(long duration) {
    cluster.randomizeClockRates();
    cluster.startAll();
    if (!cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader)) {
      return "no leader at the start";
    }
    for (String name : STATEMENT_NAMES) {
      prepare(name);
    }
    cluster.fleet.playFor(ClusterFixture.SECOND);
    runLoad();
    long end = cluster.fleet.now() + duration;
    while (cluster.fleet.now() < end) {
      playStep();
      cluster.fleet.playFor(ClusterFixture.MS * random.nextInt(10, 400));
      if (!cluster.audit.violations().isEmpty()) {
        return cluster.audit.violations().get(0);
      }
    }
    return heal();
  }

  /**
   * Plays a short history: two statements, continuous runs, one change, and one or two faults
   * before or after it. Then it heals all faults and waits until the cluster has converged.
   *
   * @return a description of the failure; null if there is no failure
   */
  String playShortly() {
    cluster.randomizeClockRates();
    cluster.startAll();
    if (!cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader)) {
      return "no leader at the start";
    }
    prepare(STATEMENT_NAMES.get(0));
    prepare(STATEMENT_NAMES.get(1));
    cluster.fleet.playFor(ClusterFixture.SECOND / 2);
    runLoad();
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
      case 0 -> pause(pick(cluster.gatewayNames));
      case 1 -> kill(pick(cluster.gatewayNames));
      case 2 -> cut(pick(cluster.gatewayNames), pick(cluster.gatewayNames));
      case 3 -> partition();
      case 4 -> restartFromOtherDisk();
      case 5 -> pause(cluster.leader());
      case 6 -> kill(cluster.leader());
      default -> {
        record("links lose, duplicate and delay messages");
        cluster.fleet.setDefaultFault(Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)));
      }
    }
  }

  private void announce() {
    String at = pick(cluster.gatewayNames);
    record("announce a change at " + at);
    cluster.announce(at, change(), outcome -> changes.add(outcome.id()));
  }

  private void runLoad() {
    cluster.gatewayNames.forEach(this::runLoad);
  }

  private void runLoad(String at) {
    if (loadRunning) {
      cluster.run(at, pick(STATEMENT_NAMES));
      cluster.fleet.at(
          cluster.fleet.now() + ClusterFixture.MS * random.nextInt(5, 60), () -> runLoad(at));
    }
  }

  private void prepare(String name) {
    int group = 17 + random.nextInt(3);
    String text = "select " + random.nextInt(1000) + " from orders_" + group + ".orders";
    boolean two = random.nextInt(3) == 0;
    String at = pick(cluster.gatewayNames);
    record("prepare " + name + " at " + at);
    cluster.prepare(
        at,
        two
            ? Fixtures.definition(name, text, group, group == 17 ? 18 : 17)
            : Fixtures.definition(name, text, group),
        outcome -> {});
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

  private void playStep() {
    switch (random.nextInt(16)) {
      case 0, 1 -> prepare(pick(STATEMENT_NAMES));
      case 2 -> {
        record("drop a statement");
        cluster.drop(pick(cluster.gatewayNames), pick(STATEMENT_NAMES), outcome -> {});
      }
      case 3, 4, 5 -> announce();
      case 6 -> {
        if (!changes.isEmpty()) {
          record("withdraw the last change");
          cluster.withdraw(
              pick(cluster.gatewayNames), changes.get(changes.size() - 1), outcome -> {});
        }
      }
      case 7 -> pause(pick(cluster.gatewayNames));
      case 8 -> kill(pick(cluster.gatewayNames));
      case 9 -> cut(pick(cluster.gatewayNames), pick(cluster.gatewayNames));
      case 10 -> partition();
      case 11 -> {
        record("restore the links");
        cluster.fleet.heal();
        cluster.fleet.setDefaultFault(
            random.nextInt(3) == 0 ? Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)) : Fault.NONE);
      }
      case 12 -> {
        String voter = pick(cluster.voters);
        if (cluster.isUp(voter)) {
          diskCopies.put(voter, cluster.copyDisk(voter));
        }
      }
      case 13 -> restartFromOtherDisk();
      case 14 -> {
        String leader = cluster.leader();
        if (cluster.isUp(leader)) {
          record("kill or pause the leader");
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

  /** Returns whether the voter last started from another disk is fully operational again. */
  private boolean isRestoredVoterReady() {
    return restoredVoter == null
        || (cluster.isUp(restoredVoter)
            && cluster.isOperational(restoredVoter)
            && cluster.fleet.now() > restoredUntil);
  }

  /**
   * Kills a gateway and starts it again later. While a voter recovers from an empty or an old disk,
   * no other voter is killed, because two voters would then be unavailable at once.
   */
  private void kill(String name) {
    if (cluster.isUp(name) && (isRestoredVoterReady() || !cluster.voters.contains(name))) {
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
    record("cut the link from " + from + " to " + to);
    cluster.fleet.link(from, to, Fault.CUT);
  }

  private void partition() {
    String one = pick(cluster.gatewayNames);
    boolean both = random.nextBoolean();
    record("partition " + one + (both ? " and another" : ""));
    String two = both ? pick(cluster.gatewayNames) : one;
    for (String other : cluster.gatewayNames) {
      if (!other.equals(one) && !other.equals(two)) {
        cluster.fleet.between(one, other, Fault.CUT);
        cluster.fleet.between(two, other, Fault.CUT);
      }
    }
  }

  /**
   * Restarts a voter from an empty or an old disk. It does so for one voter at a time, and for the
   * next one only after all voters are operational again.
   */
  private void restartFromOtherDisk() {
    boolean ready = isRestoredVoterReady();
    String name = pick(cluster.voters);
    boolean operational =
        cluster.voters.stream()
            .allMatch(voter -> cluster.isUp(voter) && cluster.isOperational(voter));
    if (!ready || !cluster.isUp(name) || !operational) {
      return;
    }
    restoredVoter = name;
    restoredUntil = cluster.fleet.now() + ClusterFixture.SECOND;
    cluster.kill(name);
    NavigableMap<String, byte[]> copy = diskCopies.get(name);
    if (copy != null && random.nextBoolean()) {
      record("start " + name + " from an old disk");
      cluster.startFromCopy(name, copy);
    } else {
      record("start " + name + " from an empty disk");
      diskCopies.remove(name);
      cluster.startFromEmptyDisk(name);
    }
  }

  private String heal() {
    record("heal all faults");
    cluster.fleet.heal();
    cluster.fleet.setDefaultFault(Fault.NONE);
    for (String name : cluster.gatewayNames) {
      if (!cluster.isUp(name)) {
        cluster.start(name);
      }
      cluster.resume(name);
    }
    boolean converged = cluster.playUntil(60 * ClusterFixture.SECOND, cluster::hasConverged);
    loadRunning = false;
    if (!cluster.audit.violations().isEmpty()) {
      return cluster.audit.violations().get(0);
    }
    if (!converged) {
      return "gateways did not converge: leader " + cluster.leader();
    }
    for (String name : STATEMENT_NAMES) {
      boolean ready =
          cluster
              .statements("g1")
              .catalog()
              .find(name)
              .filter(entry -> entry.state() == State.READY)
              .isPresent();
      for (String at : cluster.gatewayNames) {
        if (ready
            && !cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun(at, name))) {
          return at + " can't run " + name + " without faults: " + cluster.runState(at, name);
        }
      }
    }
    return cluster.audit.violations().isEmpty() ? null : cluster.audit.violations().get(0);
  }
}
