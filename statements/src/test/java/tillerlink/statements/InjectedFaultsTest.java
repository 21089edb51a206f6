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
 * Each planted fault is caught, by an invariant in the code or by the audit from outside; the same
 * scene without the fault is in order.
 */
class InjectedFaultsTest {
  private static final int SEEDS_MOST = 120;

  /**
   * What a scene came to, by each check that saw something, numbers aside; empty if all was in
   * order.
   */
  private static Set<String> of(ClusterFixture cluster, Function<ClusterFixture, String> scene) {
    Set<String> seen = new LinkedHashSet<>();
    String said;
    try {
      said = scene.apply(cluster);
    } catch (Invariant.Broken e) {
      said = e.getMessage();
    }
    cluster.audit.violations.forEach(it -> seen.add(plain(it)));
    if (said != null) {
      seen.add(plain(said));
    }
    return seen;
  }

  private static String plain(String words) {
    return words.replaceAll("[0-9]+", "N").replaceAll("v1|v2|v3", "vN");
  }

  private static void caught(
      InjectedFault plant, Function<ClusterFixture, String> scene, String words) {
    assertEquals(Set.of(), of(new ClusterFixture(5, 3, 2), scene), plant + " without the fault");
    Set<String> seen = of(new ClusterFixture(5, 3, 2, plant), scene);
    System.out.println(plant + ": " + seen);
    assertTrue(seen.contains(words), plant + ": " + seen);
  }

  /** By random histories: so many seeds until one catches it. */
  private static void caughtByChance(InjectedFault plant, int first, String words) {
    for (int seed = first; seed < first + SEEDS_MOST; seed++) {
      History history = new History(seed, plant);
      try {
        String said = history.play(8 * ClusterFixture.SECOND);
        assertNull(said);
      } catch (Invariant.Broken e) {
        System.out.println(plant + ": seed " + seed + ": " + e.getMessage());
        assertEquals(words, e.getMessage().replaceAll("[0-9]+", "N").replaceAll(": vN.*", ""));
        return;
      }
    }
    throw new AssertionError(plant + " is not caught");
  }

  // ---- scenes ----

  private static String settled(ClusterFixture cluster) {
    cluster.startAll();
    if (!cluster.until(10 * ClusterFixture.SECOND, () -> !cluster.leader().equals("none"))) {
      return "no leader";
    }
    cluster.prepare(
        "g1", ClusterFixture.definition("top", "select 1 from orders_17.orders", 17), any -> {});
    return cluster.until(
            5 * ClusterFixture.SECOND, () -> cluster.mayRun("g1", "top").startsWith("yes"))
        ? null
        : "no run";
  }

  private static void load(ClusterFixture cluster, String at, long until) {
    cluster.run(at, "top");
    if (cluster.fleet.now() < until) {
      cluster.fleet.at(cluster.fleet.now() + 100, () -> load(cluster, at, until));
    }
  }

  private static void alone(ClusterFixture cluster, String name) {
    cluster.all.stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> cluster.fleet.between(name, other, Fault.CUT));
  }

  private static String calmAgain(ClusterFixture cluster) {
    cluster.fleet.heal();
    cluster.all.forEach(
        name -> {
          if (!cluster.isUp(name)) {
            cluster.start(name);
          }
        });
    return cluster.until(30 * ClusterFixture.SECOND, cluster::agree) ? null : "no agreement";
  }

  /** A change while one gateway is cut off with its lease. */
  private static String changeWhileCut(ClusterFixture cluster) {
    String trouble = settled(cluster);
    load(cluster, "g1", cluster.fleet.now() + 4 * ClusterFixture.SECOND);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    alone(cluster, "g1");
    cluster.announce("g2", ClusterFixture.untouched(17), any -> {});
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  @Test
  void aVoterThatClearsOrALeaderThatLetsItTakeEffectTooEarly() {
    caught(
        InjectedFault.CLEARS_TOO_EARLY,
        InjectedFaultsTest::changeWhileCut,
        "invariant broken: change N took effect while a lease of a clear voter is alive");
    caught(
        InjectedFault.EFFECT_WITHOUT_MAJORITY,
        InjectedFaultsTest::changeWhileCut,
        "N ms: gN runs top under version N of group N, in effect is N");
    caught(
        InjectedFault.LEASE_WITHOUT_MAJORITY,
        InjectedFaultsTest::changeWhileCut,
        "invariant broken: a lease on group N without a majority");
  }

  /**
   * All voters start again and forget what they granted, while a gateway that holds a lease is cut
   * off.
   */
  private static String allVotersStartAgain(ClusterFixture cluster) {
    cluster.leaseLength = 6 * ClusterFixture.SECOND;
    String trouble = settled(cluster);
    load(cluster, "g1", cluster.fleet.now() + 8 * ClusterFixture.SECOND);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    alone(cluster, "g1");
    cluster.voters.forEach(cluster::start);
    cluster.until(5 * ClusterFixture.SECOND, () -> !cluster.leader().equals("none"));
    cluster.announce("g2", ClusterFixture.untouched(17), any -> {});
    cluster.fleet.playFor(8 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  @Test
  void aVoterThatForgotWhatItGranted() {
    caught(
        InjectedFault.CLEARS_AFTER_RESTART,
        InjectedFaultsTest::allVotersStartAgain,
        "N ms: gN runs top under version N of group N, in effect is N");
  }

  /** Answers to a gateway take longer than half a lease. */
  private static String answersAreLate(ClusterFixture cluster) {
    cluster.leaseLength = 2 * ClusterFixture.SECOND;
    String trouble = settled(cluster);
    cluster.voters.forEach(voter -> cluster.fleet.link(voter, "g1", Fault.slow(14_000, 14_000)));
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    load(cluster, "g1", cluster.fleet.now() + 5 * ClusterFixture.SECOND);
    cluster.announce("g2", ClusterFixture.untouched(17), any -> {});
    cluster.fleet.playFor(13_900);
    alone(cluster, "g1");
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  @Test
  void aGatewayThatCountsFromTheAnswer() {
    caught(
        InjectedFault.COUNTS_LEASE_FROM_RESPONSE,
        InjectedFaultsTest::answersAreLate,
        "N ms: gN runs top under version N of group N, in effect is N");
  }

  /** A leader that is cut off takes in what the others never hear; they go on without it. */
  private static String leaderIsCut(ClusterFixture cluster) {
    String trouble = settled(cluster);
    String old = cluster.leader();
    alone(cluster, old);
    for (int i = 0; i < 3; i++) {
      cluster.prepare(
          old,
          ClusterFixture.definition("mine" + i, "select " + i + " from orders_17.orders", 17),
          any -> {});
      cluster.fleet.playFor(60 * ClusterFixture.MS);
    }
    cluster.until(10 * ClusterFixture.SECOND, () -> cluster.leader().contains("+"));
    for (int i = 0; i < 9; i++) {
      cluster.prepare(
          "g2",
          ClusterFixture.definition("theirs" + i, "select 5 from orders_17.orders", 17),
          any -> {});
    }
    cluster.fleet.playFor(3 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  @Test
  void aLeaderThatCommitsAlone() {
    caught(
        InjectedFault.COMMITS_WITHOUT_MAJORITY,
        InjectedFaultsTest::leaderIsCut,
        "invariant broken: what is committed is written over at N");
  }

  /** What two voters took in is lost with their disks' last writes, if they said so too early. */
  private static String twoCrash(ClusterFixture cluster) {
    String trouble = settled(cluster);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    String leader = cluster.leader();
    List<String> others = cluster.voters.stream().filter(name -> !name.equals(leader)).toList();
    alone(cluster, others.get(1));
    cluster.fleet.between("g1", others.get(1), Fault.CUT);
    cluster.slowDisks(3 * ClusterFixture.SECOND);
    for (int i = 0; i < 4; i++) {
      cluster.prepare(
          "g1",
          ClusterFixture.definition("kept" + i, "select 'one' from orders_17.orders", 17),
          any -> {});
    }
    cluster.fleet.playFor(1200 * ClusterFixture.MS);
    cluster.crash(leader);
    cluster.crash(others.get(0));
    cluster.fleet.heal();
    cluster.slowDisks(5);
    cluster.start(leader);
    cluster.start(others.get(0));
    cluster.until(10 * ClusterFixture.SECOND, () -> !cluster.leader().equals("none"));
    for (int i = 1; i < 4; i++) {
      cluster.prepare(
          "g2",
          ClusterFixture.definition("kept" + i, "select 'other' from orders_17.orders", 17),
          any -> {});
    }
    cluster.fleet.playFor(4 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  @Test
  void aVoterThatAnswersBeforeItsDisk() {
    caught(
        InjectedFault.RESPONDS_BEFORE_DURABLE,
        InjectedFaultsTest::twoCrash,
        "keptN has two texts in generation N");
  }

  /**
   * An entry that two voters hold; one of them comes back from a disk of before, while the other is
   * cut off.
   */
  private static String oldDisk(ClusterFixture cluster) {
    String trouble = settled(cluster);
    cluster.fleet.playFor(ClusterFixture.SECOND);
    String leader = cluster.leader();
    List<String> others = cluster.voters.stream().filter(name -> !name.equals(leader)).toList();
    String forgetful = others.get(0);
    String behind = others.get(1);
    alone(cluster, behind);
    NavigableMap<String, byte[]> copy = cluster.copyOf(forgetful);
    cluster.prepare(
        "g1",
        ClusterFixture.definition("kept", "select 'one' from orders_17.orders", 17),
        any -> {});
    cluster.fleet.playFor(ClusterFixture.SECOND);
    cluster.fleet.heal();
    alone(cluster, leader);
    cluster.startOld(forgetful, copy);
    cluster.until(
        8 * ClusterFixture.SECOND,
        () -> cluster.leader().contains("+") || cluster.leader().equals(forgetful));
    cluster.prepare(
        "g2",
        ClusterFixture.definition("kept", "select 'other' from orders_17.orders", 17),
        any -> {});
    cluster.fleet.playFor(3 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  @Test
  void aVoterThatTrustsAnOldDisk() {
    caught(
        InjectedFault.TRUSTS_RESTORED_DISK,
        InjectedFaultsTest::oldDisk,
        "invariant broken: what is committed is written over at N");
  }

  /** A change while an engine is at an attempt for as long as the lease lasts. */
  private static String changeWhileAttemptIsOut(ClusterFixture cluster) {
    cluster.worksFor = 4 * ClusterFixture.SECOND;
    String trouble = settled(cluster);
    // A voter that has just started is clear of nothing.
    cluster.fleet.playFor(2 * ClusterFixture.SECOND);
    cluster.run("g1", "top");
    cluster.fleet.playFor(10 * ClusterFixture.MS);
    cluster.announce("g2", ClusterFixture.untouched(17), any -> {});
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  /** A change after a gateway gave an attempt up, with its engine still at it. */
  private static String changeAfterDoubt(ClusterFixture cluster) {
    cluster.worksFor = 20 * ClusterFixture.MS;
    cluster.inDoubt = 1;
    String trouble = settled(cluster);
    // A voter that has just started is clear of nothing.
    cluster.fleet.playFor(2 * ClusterFixture.SECOND);
    cluster.run("g1", "top");
    cluster.fleet.playFor(50 * ClusterFixture.MS);
    cluster.announce("g2", ClusterFixture.untouched(17), any -> {});
    cluster.fleet.playFor(5 * ClusterFixture.SECOND);
    return trouble == null ? calmAgain(cluster) : trouble;
  }

  @Test
  void aGatewayThatGivesALeaseBackUnderAnAttempt() {
    String words =
        "N ms: group N changes while a hop of gN is at an engine, under a lease until N ms";
    caught(
        InjectedFault.RELEASES_WITH_ATTEMPTS_IN_FLIGHT,
        InjectedFaultsTest::changeWhileAttemptIsOut,
        words);
    caught(InjectedFault.ASSUMES_ATTEMPTS_STOPPED, InjectedFaultsTest::changeAfterDoubt, words);
  }

  @Test
  void byChance() {
    caughtByChance(InjectedFault.VOTES_TWICE, 70, "invariant broken: two leaders in term N");
    caughtByChance(
        InjectedFault.GRANTS_WHILE_BLOCKED,
        1,
        "invariant broken: change N took effect while a lease of a clear voter is alive");
  }
}
