package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Invariant;
import tillerlink.simulation.Fault;
import tillerlink.statements.testing.InjectedFault;

/**
 * Each injected fault is detected, by an invariant in the code or by the audit from outside; the
 * same scenario without the fault shows no violation.
 */
class InjectedFaultsTest {
  private static final int SEEDS_MOST = 120;

  /** The violations that the checks found in a scenario, numbers aside; empty if there are none. */
  private static Set<String> violations(
      ClusterFixture cluster, Function<ClusterFixture, String> scenario) {
    Set<String> found = new LinkedHashSet<>();
    String failure;
    try {
      failure = scenario.apply(cluster);
    } catch (Invariant.Broken e) {
      failure = e.getMessage();
    }
    cluster.audit.violations().forEach(violation -> found.add(withoutNumbers(violation)));
    if (failure != null) {
      found.add(withoutNumbers(failure));
    }
    return found;
  }

  private static String withoutNumbers(String message) {
    return message.replaceAll("[0-9]+", "N").replaceAll("v1|v2|v3", "vN");
  }

  private static void assertDetected(
      InjectedFault fault, Function<ClusterFixture, String> scenario, String expected) {
    assertEquals(
        Set.of(), violations(new ClusterFixture(5, 3, 2), scenario), fault + " without the fault");
    Set<String> found = violations(new ClusterFixture(5, 3, 2, fault), scenario);
    System.out.println(fault + ": " + found);
    assertTrue(found.contains(expected), fault + ": " + found);
  }

  /** By random histories: so many seeds until one catches it. */
  private static void assertDetectedByHistories(InjectedFault fault, int first, String expected) {
    for (int seed = first; seed < first + SEEDS_MOST; seed++) {
      History history = new History(seed, fault);
      try {
        String failure = history.play(8 * ClusterFixture.SECOND);
        assertNull(failure);
      } catch (Invariant.Broken e) {
        System.out.println(fault + ": seed " + seed + ": " + e.getMessage());
        assertEquals(expected, e.getMessage().replaceAll("[0-9]+", "N").replaceAll(": vN.*", ""));
        return;
      }
    }
    throw new AssertionError(fault + " is not detected");
  }

  // ---- scenarios ----

  private static String startAndPrepare(ClusterFixture cluster) {
    cluster.startAll();
    if (!cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader)) {
      return "no leader";
    }
    cluster.prepare(
        "g1", Fixtures.definition("top", "select 1 from orders_17.orders", 17), any -> {});
    return cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun("g1", "top"))
        ? null
        : "no run";
  }

  private static void load(ClusterFixture cluster, String at, long until) {
    cluster.run(at, "top");
    if (cluster.fleet.now() < until) {
      cluster.fleet.at(cluster.fleet.now() + 100, () -> load(cluster, at, until));
    }
  }

  private static void isolate(ClusterFixture cluster, String name) {
    cluster.all.stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> cluster.fleet.between(name, other, Fault.CUT));
  }

  private static String healAndConverge(ClusterFixture cluster) {
    cluster.fleet.heal();
    cluster.all.forEach(
        name -> {
          if (!cluster.isUp(name)) {
            cluster.start(name);
          }
        });
    return cluster.playUntil(30 * ClusterFixture.SECOND, cluster::hasConverged)
        ? null
        : "no agreement";
  }

  /** A change while one gateway is cut off with its lease. */
  private static String changeWhileIsolated(ClusterFixture cluster) {
    String failure = startAndPrepare(cluster);
    load(cluster, "g1", cluster.fleet.now() + 4 * ClusterFixture.SECOND);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    isolate(cluster, "g1");
    cluster.announce("g2", Fixtures.untouched(17), any -> {});
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void effectWhileALeaseIsValidIsDetected() {
    assertDetected(
        InjectedFault.CLEARS_TOO_EARLY,
        InjectedFaultsTest::changeWhileIsolated,
        "invariant broken: change N took effect while a lease of a clear voter is alive");
    assertDetected(
        InjectedFault.EFFECT_WITHOUT_MAJORITY,
        InjectedFaultsTest::changeWhileIsolated,
        "N ms: gN runs top under version N of group N, in effect is N");
    assertDetected(
        InjectedFault.LEASE_WITHOUT_MAJORITY,
        InjectedFaultsTest::changeWhileIsolated,
        "invariant broken: a lease on group N without a majority");
  }

  /**
   * All voters start again and forget what they granted, while a gateway that holds a lease is cut
   * off.
   */
  private static String allVotersRestart(ClusterFixture cluster) {
    cluster.setLeaseLength(6 * ClusterFixture.SECOND);
    String failure = startAndPrepare(cluster);
    load(cluster, "g1", cluster.fleet.now() + 8 * ClusterFixture.SECOND);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    isolate(cluster, "g1");
    cluster.voters.forEach(cluster::start);
    cluster.playUntil(5 * ClusterFixture.SECOND, cluster::hasLeader);
    cluster.announce("g2", Fixtures.untouched(17), any -> {});
    cluster.fleet.playFor(8 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void confirmationAfterForgottenGrantsIsDetected() {
    assertDetected(
        InjectedFault.CLEARS_AFTER_RESTART,
        InjectedFaultsTest::allVotersRestart,
        "N ms: gN runs top under version N of group N, in effect is N");
  }

  /** Answers to a gateway take longer than half a lease. */
  private static String responsesAreLate(ClusterFixture cluster) {
    cluster.setLeaseLength(2 * ClusterFixture.SECOND);
    String failure = startAndPrepare(cluster);
    cluster.voters.forEach(voter -> cluster.fleet.link(voter, "g1", Fault.slow(14_000, 14_000)));
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    load(cluster, "g1", cluster.fleet.now() + 5 * ClusterFixture.SECOND);
    cluster.announce("g2", Fixtures.untouched(17), any -> {});
    cluster.fleet.playFor(13_900);
    isolate(cluster, "g1");
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void leaseCountedFromTheResponseIsDetected() {
    assertDetected(
        InjectedFault.COUNTS_LEASE_FROM_RESPONSE,
        InjectedFaultsTest::responsesAreLate,
        "N ms: gN runs top under version N of group N, in effect is N");
  }

  /** A leader that is cut off takes in what the others never hear; they go on without it. */
  private static String leaderIsIsolated(ClusterFixture cluster) {
    String failure = startAndPrepare(cluster);
    String old = cluster.leader();
    isolate(cluster, old);
    for (int i = 0; i < 3; i++) {
      cluster.prepare(
          old,
          Fixtures.definition("mine" + i, "select " + i + " from orders_17.orders", 17),
          any -> {});
      cluster.fleet.playFor(60 * ClusterFixture.MS);
    }
    cluster.playUntil(10 * ClusterFixture.SECOND, () -> cluster.leader().contains("+"));
    for (int i = 0; i < 9; i++) {
      cluster.prepare(
          "g2", Fixtures.definition("theirs" + i, "select 5 from orders_17.orders", 17), any -> {});
    }
    cluster.fleet.playFor(3 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void commitWithoutAMajorityIsDetected() {
    assertDetected(
        InjectedFault.COMMITS_WITHOUT_MAJORITY,
        InjectedFaultsTest::leaderIsIsolated,
        "invariant broken: what is committed is written over at N");
  }

  /** What two voters took in is lost with their disks' last writes, if they said so too early. */
  private static String twoVotersCrash(ClusterFixture cluster) {
    String failure = startAndPrepare(cluster);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    String leader = cluster.leader();
    List<String> others = cluster.voters.stream().filter(name -> !name.equals(leader)).toList();
    isolate(cluster, others.get(1));
    cluster.fleet.between("g1", others.get(1), Fault.CUT);
    cluster.setWriteDelay(3 * ClusterFixture.SECOND);
    for (int i = 0; i < 4; i++) {
      cluster.prepare(
          "g1",
          Fixtures.definition("kept" + i, "select 'one' from orders_17.orders", 17),
          any -> {});
    }
    cluster.fleet.playFor(1200 * ClusterFixture.MS);
    cluster.crash(leader);
    cluster.crash(others.get(0));
    cluster.fleet.heal();
    cluster.resetWriteDelay();
    cluster.start(leader);
    cluster.start(others.get(0));
    cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader);
    for (int i = 1; i < 4; i++) {
      cluster.prepare(
          "g2",
          Fixtures.definition("kept" + i, "select 'other' from orders_17.orders", 17),
          any -> {});
    }
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void responseBeforeDurabilityIsDetected() {
    assertDetected(
        InjectedFault.RESPONDS_BEFORE_DURABLE,
        InjectedFaultsTest::twoVotersCrash,
        "keptN has two texts in generation N");
  }

  /**
   * An entry that two voters hold; one of them comes back from a disk of before, while the other is
   * cut off.
   */
  private static String voterFromOldDisk(ClusterFixture cluster) {
    String failure = startAndPrepare(cluster);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    String leader = cluster.leader();
    List<String> others = cluster.voters.stream().filter(name -> !name.equals(leader)).toList();
    String forgetful = others.get(0);
    String behind = others.get(1);
    isolate(cluster, behind);
    NavigableMap<String, byte[]> copy = cluster.copyDisk(forgetful);
    cluster.prepare(
        "g1", Fixtures.definition("kept", "select 'one' from orders_17.orders", 17), any -> {});
    cluster.fleet.playFor(ClusterFixture.SECOND);
    cluster.fleet.heal();
    isolate(cluster, leader);
    cluster.startFromCopy(forgetful, copy);
    cluster.playUntil(
        8 * ClusterFixture.SECOND,
        () -> cluster.leader().contains("+") || cluster.leader().equals(forgetful));
    cluster.prepare(
        "g2", Fixtures.definition("kept", "select 'other' from orders_17.orders", 17), any -> {});
    cluster.fleet.playFor(3 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void trustInARestoredDiskIsDetected() {
    assertDetected(
        InjectedFault.TRUSTS_RESTORED_DISK,
        InjectedFaultsTest::voterFromOldDisk,
        "invariant broken: what is committed is written over at N");
  }

  /** A change while an engine is at an attempt for as long as the lease lasts. */
  private static String changeWhileAttemptExecutes(ClusterFixture cluster) {
    cluster.setExecutionTime(4 * ClusterFixture.SECOND);
    String failure = startAndPrepare(cluster);
    // A voter that has just started is clear of nothing.
    cluster.fleet.playFor(2 * ClusterFixture.SECOND);
    cluster.run("g1", "top");
    cluster.fleet.playFor(10 * ClusterFixture.MS);
    cluster.announce("g2", Fixtures.untouched(17), any -> {});
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  /** A change after a gateway gave an attempt up, with its engine still at it. */
  private static String changeAfterUncertainEnd(ClusterFixture cluster) {
    cluster.setExecutionTime(20 * ClusterFixture.MS);
    cluster.setUncertainShare(1);
    String failure = startAndPrepare(cluster);
    // A voter that has just started is clear of nothing.
    cluster.fleet.playFor(2 * ClusterFixture.SECOND);
    cluster.run("g1", "top");
    cluster.fleet.playFor(50 * ClusterFixture.MS);
    cluster.announce("g2", Fixtures.untouched(17), any -> {});
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void releaseUnderAnAttemptIsDetected() {
    String expected =
        "N ms: group N changes while an attempt of gN is at an engine, under a lease until N ms";
    assertDetected(
        InjectedFault.RELEASES_WITH_ATTEMPTS_IN_FLIGHT,
        InjectedFaultsTest::changeWhileAttemptExecutes,
        expected);
    assertDetected(
        InjectedFault.ASSUMES_ATTEMPTS_STOPPED,
        InjectedFaultsTest::changeAfterUncertainEnd,
        expected);
  }

  @Test
  void faultsOfVotesAndGrantsAreDetectedByHistories() {
    assertDetectedByHistories(
        InjectedFault.VOTES_TWICE, 70, "invariant broken: two leaders in term N");
    assertDetectedByHistories(
        InjectedFault.GRANTS_WHILE_BLOCKED,
        1,
        "invariant broken: change N took effect while a lease of a clear voter is alive");
  }
}
