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
 * Tests that each injected fault is detected, by an invariant in the code or by the audit, and that
 * the same scenario without the fault shows no violation.
 */
class InjectedFaultsTest {
  private static final int SEEDS_MAX = 120;

  /** Returns the violations found in a scenario, with numbers replaced by N; empty without any. */
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

  /** Asserts that one of the histories of successive seeds detects the fault. */
  private static void assertDetectedByHistories(InjectedFault fault, int first, String expected) {
    for (int seed = first; seed < first + SEEDS_MAX; seed++) {
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
        "g1", Fixtures.definition("top", "select 1 from orders_17.orders", 17), outcome -> {});
    return cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun("g1", "top"))
        ? null
        : "g1 can't run the statement";
  }

  private static void load(ClusterFixture cluster, String at, long until) {
    cluster.run(at, "top");
    if (cluster.fleet.now() < until) {
      cluster.fleet.at(cluster.fleet.now() + 100, () -> load(cluster, at, until));
    }
  }

  private static void isolate(ClusterFixture cluster, String name) {
    cluster.gatewayNames.stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> cluster.fleet.between(name, other, Fault.CUT));
  }

  private static String healAndConverge(ClusterFixture cluster) {
    cluster.fleet.heal();
    cluster.gatewayNames.forEach(
        name -> {
          if (!cluster.isUp(name)) {
            cluster.start(name);
          }
        });
    return cluster.playUntil(30 * ClusterFixture.SECOND, cluster::hasConverged)
        ? null
        : "gateways did not converge";
  }

  /** Announces a change while a gateway is isolated and its lease is valid. */
  private static String changeWhileIsolated(ClusterFixture cluster) {
    String failure = startAndPrepare(cluster);
    load(cluster, "g1", cluster.fleet.now() + 4 * ClusterFixture.SECOND);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    isolate(cluster, "g1");
    cluster.announce("g2", Fixtures.untouched(17), outcome -> {});
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void effectUnderAValidLeaseIsDetected() {
    assertDetected(
        InjectedFault.CLEARS_TOO_EARLY,
        InjectedFaultsTest::changeWhileIsolated,
        "invariant broken: change N took effect while a lease of a clear voter is alive");
    assertDetected(
        InjectedFault.EFFECT_WITHOUT_MAJORITY,
        InjectedFaultsTest::changeWhileIsolated,
        "N ms: gN runs top under schema version N of group N, in effect is version N");
    assertDetected(
        InjectedFault.LEASE_WITHOUT_MAJORITY,
        InjectedFaultsTest::changeWhileIsolated,
        "invariant broken: a lease on group N without a majority");
  }

  /**
   * Restarts all voters, so that they lose the record of their grants, while a gateway with a valid
   * lease is isolated; then announces a change.
   */
  private static String allVotersRestart(ClusterFixture cluster) {
    cluster.setLeaseLength(6 * ClusterFixture.SECOND);
    String failure = startAndPrepare(cluster);
    load(cluster, "g1", cluster.fleet.now() + 8 * ClusterFixture.SECOND);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    isolate(cluster, "g1");
    cluster.voters.forEach(cluster::start);
    cluster.playUntil(5 * ClusterFixture.SECOND, cluster::hasLeader);
    cluster.announce("g2", Fixtures.untouched(17), outcome -> {});
    cluster.fleet.playFor(8 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void confirmationAfterForgottenGrantsIsDetected() {
    assertDetected(
        InjectedFault.CLEARS_AFTER_RESTART,
        InjectedFaultsTest::allVotersRestart,
        "N ms: gN runs top under schema version N of group N, in effect is version N");
  }

  /** Delays the responses to a gateway by more than half a lease, and announces a change. */
  private static String responsesAreLate(ClusterFixture cluster) {
    cluster.setLeaseLength(2 * ClusterFixture.SECOND);
    String failure = startAndPrepare(cluster);
    cluster.voters.forEach(voter -> cluster.fleet.link(voter, "g1", Fault.slow(14_000, 14_000)));
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    load(cluster, "g1", cluster.fleet.now() + 5 * ClusterFixture.SECOND);
    cluster.announce("g2", Fixtures.untouched(17), outcome -> {});
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
        "N ms: gN runs top under schema version N of group N, in effect is version N");
  }

  /**
   * Sends requests to an isolated leader, whose entries never reach the other voters, while those
   * elect another leader and append other entries.
   */
  private static String leaderIsIsolated(ClusterFixture cluster) {
    String failure = startAndPrepare(cluster);
    String old = cluster.leader();
    isolate(cluster, old);
    for (int i = 0; i < 3; i++) {
      cluster.prepare(
          old,
          Fixtures.definition("isolated" + i, "select " + i + " from orders_17.orders", 17),
          outcome -> {});
      cluster.fleet.playFor(60 * ClusterFixture.MS);
    }
    cluster.playUntil(10 * ClusterFixture.SECOND, () -> cluster.leader().contains("+"));
    for (int i = 0; i < 9; i++) {
      cluster.prepare(
          "g2",
          Fixtures.definition("majority" + i, "select 5 from orders_17.orders", 17),
          outcome -> {});
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

  /**
   * Crashes two voters that have appended entries whose disk writes are pending. If they had
   * acknowledged the entries before the writes were durable, committed entries would be lost.
   */
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
          outcome -> {});
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
          outcome -> {});
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
   * Commits an entry on two of three voters, restarts one of them from an older copy of its disk
   * and isolates the other, so that the remaining majority lacks the entry.
   */
  private static String voterFromOldDisk(ClusterFixture cluster) {
    String failure = startAndPrepare(cluster);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    String leader = cluster.leader();
    List<String> others = cluster.voters.stream().filter(name -> !name.equals(leader)).toList();
    String restored = others.get(0);
    String lagging = others.get(1);
    isolate(cluster, lagging);
    NavigableMap<String, byte[]> copy = cluster.copyDisk(restored);
    cluster.prepare(
        "g1", Fixtures.definition("kept", "select 'one' from orders_17.orders", 17), outcome -> {});
    cluster.fleet.playFor(ClusterFixture.SECOND);
    cluster.fleet.heal();
    isolate(cluster, leader);
    cluster.startFromCopy(restored, copy);
    cluster.playUntil(
        8 * ClusterFixture.SECOND,
        () -> cluster.leader().contains("+") || cluster.leader().equals(restored));
    cluster.prepare(
        "g2",
        Fixtures.definition("kept", "select 'other' from orders_17.orders", 17),
        outcome -> {});
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

  /** Announces a change while an engine executes an attempt for longer than the lease lasts. */
  private static String changeWhileAttemptExecutes(ClusterFixture cluster) {
    cluster.setExecutionTime(4 * ClusterFixture.SECOND);
    String failure = startAndPrepare(cluster);
    // A voter confirms no change until leases granted before its start have expired.
    cluster.fleet.playFor(2 * ClusterFixture.SECOND);
    cluster.run("g1", "top");
    cluster.fleet.playFor(10 * ClusterFixture.MS);
    cluster.announce("g2", Fixtures.untouched(17), outcome -> {});
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  /** Announces a change after an attempt ended at its gateway while its engine may execute it. */
  private static String changeAfterUncertainEnd(ClusterFixture cluster) {
    cluster.setExecutionTime(20 * ClusterFixture.MS);
    cluster.setUncertainShare(1);
    String failure = startAndPrepare(cluster);
    // A voter confirms no change until leases granted before its start have expired.
    cluster.fleet.playFor(2 * ClusterFixture.SECOND);
    cluster.run("g1", "top");
    cluster.fleet.playFor(50 * ClusterFixture.MS);
    cluster.announce("g2", Fixtures.untouched(17), outcome -> {});
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return failure == null ? healAndConverge(cluster) : failure;
  }

  @Test
  void releaseUnderAnAttemptIsDetected() {
    String expected =
        "N ms: group N changes while an engine executes an attempt of gN, lease valid until N ms";
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
  void faultsInVotesAndGrantsAreDetectedByHistories() {
    assertDetectedByHistories(
        InjectedFault.VOTES_TWICE, 70, "invariant broken: two leaders in term N");
    assertDetectedByHistories(
        InjectedFault.GRANTS_WHILE_BLOCKED,
        1,
        "invariant broken: change N took effect while a lease of a clear voter is alive");
  }
}
