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
  private static Set<String> of(TestCluster town, Function<TestCluster, String> scene) {
    Set<String> seen = new LinkedHashSet<>();
    String said;
    try {
      said = scene.apply(town);
    } catch (Invariant.Broken e) {
      said = e.getMessage();
    }
    town.audit.violations.forEach(it -> seen.add(plain(it)));
    if (said != null) {
      seen.add(plain(said));
    }
    return seen;
  }

  private static String plain(String words) {
    return words.replaceAll("[0-9]+", "N").replaceAll("v1|v2|v3", "vN");
  }

  private static void caught(
      InjectedFault plant, Function<TestCluster, String> scene, String words) {
    assertEquals(Set.of(), of(new TestCluster(5, 3, 2), scene), plant + " without the fault");
    Set<String> seen = of(new TestCluster(5, 3, 2, plant), scene);
    System.out.println(plant + ": " + seen);
    assertTrue(seen.contains(words), plant + ": " + seen);
  }

  /** By random histories: so many seeds until one catches it. */
  private static void caughtByChance(InjectedFault plant, int first, String words) {
    for (int seed = first; seed < first + SEEDS_MOST; seed++) {
      History history = new History(seed, plant);
      try {
        String said = history.play(8 * TestCluster.SECOND);
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

  private static String settled(TestCluster town) {
    town.startAll();
    if (!town.until(10 * TestCluster.SECOND, () -> !town.leader().equals("none"))) {
      return "no leader";
    }
    town.prepare(
        "g1", TestCluster.definition("top", "select 1 from orders_17.orders", 17), any -> {});
    return town.until(5 * TestCluster.SECOND, () -> town.mayRun("g1", "top").startsWith("yes"))
        ? null
        : "no run";
  }

  private static void load(TestCluster town, String at, long until) {
    town.run(at, "top");
    if (town.fleet.now() < until) {
      town.fleet.at(town.fleet.now() + 100, () -> load(town, at, until));
    }
  }

  private static void alone(TestCluster town, String name) {
    town.all.stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> town.fleet.between(name, other, Fault.CUT));
  }

  private static String calmAgain(TestCluster town) {
    town.fleet.heal();
    town.all.forEach(
        name -> {
          if (!town.isUp(name)) {
            town.start(name);
          }
        });
    return town.until(30 * TestCluster.SECOND, town::agree) ? null : "no agreement";
  }

  /** A change while one gateway is cut off with its lease. */
  private static String changeWhileCut(TestCluster town) {
    String trouble = settled(town);
    load(town, "g1", town.fleet.now() + 4 * TestCluster.SECOND);
    town.fleet.playFor(TestCluster.SECOND);
    alone(town, "g1");
    town.announce("g2", TestCluster.untouched(17), any -> {});
    town.fleet.playFor(4 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  @Test
  void aVoterThatClearsOrALeaderThatLetsItTakeEffectTooEarly() {
    caught(
        InjectedFault.CLEARS_TOO_EARLY,
        InjectedFaultsTest::changeWhileCut,
        "invariant broken: change N took effect while a lease of a clear voter is alive");
    caught(
        InjectedFault.EFFECT_UNASKED,
        InjectedFaultsTest::changeWhileCut,
        "N ms: gN runs top under version N of group N, in effect is N");
    caught(
        InjectedFault.LEASE_OF_A_MINORITY,
        InjectedFaultsTest::changeWhileCut,
        "invariant broken: a lease on group N without a majority");
  }

  /**
   * All voters start again and forget what they granted, while a gateway that holds a lease is cut
   * off.
   */
  private static String allVotersStartAgain(TestCluster town) {
    town.leaseLength = 6 * TestCluster.SECOND;
    String trouble = settled(town);
    load(town, "g1", town.fleet.now() + 8 * TestCluster.SECOND);
    town.fleet.playFor(TestCluster.SECOND);
    alone(town, "g1");
    town.voters.forEach(town::start);
    town.until(5 * TestCluster.SECOND, () -> !town.leader().equals("none"));
    town.announce("g2", TestCluster.untouched(17), any -> {});
    town.fleet.playFor(8 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  @Test
  void aVoterThatForgotWhatItGranted() {
    caught(
        InjectedFault.CLEARS_AFTER_START,
        InjectedFaultsTest::allVotersStartAgain,
        "N ms: gN runs top under version N of group N, in effect is N");
  }

  /** Answers to a gateway take longer than half a lease. */
  private static String answersAreLate(TestCluster town) {
    town.leaseLength = 2 * TestCluster.SECOND;
    String trouble = settled(town);
    town.voters.forEach(voter -> town.fleet.link(voter, "g1", Fault.slow(14_000, 14_000)));
    town.fleet.playFor(4 * TestCluster.SECOND);
    load(town, "g1", town.fleet.now() + 5 * TestCluster.SECOND);
    town.announce("g2", TestCluster.untouched(17), any -> {});
    town.fleet.playFor(13_900);
    alone(town, "g1");
    town.fleet.playFor(5 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  @Test
  void aGatewayThatCountsFromTheAnswer() {
    caught(
        InjectedFault.COUNTS_FROM_ANSWER,
        InjectedFaultsTest::answersAreLate,
        "N ms: gN runs top under version N of group N, in effect is N");
  }

  /** A leader that is cut off takes in what the others never hear; they go on without it. */
  private static String leaderIsCut(TestCluster town) {
    String trouble = settled(town);
    String old = town.leader();
    alone(town, old);
    for (int i = 0; i < 3; i++) {
      town.prepare(
          old,
          TestCluster.definition("mine" + i, "select " + i + " from orders_17.orders", 17),
          any -> {});
      town.fleet.playFor(60 * TestCluster.MS);
    }
    town.until(10 * TestCluster.SECOND, () -> town.leader().contains("+"));
    for (int i = 0; i < 9; i++) {
      town.prepare(
          "g2",
          TestCluster.definition("theirs" + i, "select 5 from orders_17.orders", 17),
          any -> {});
    }
    town.fleet.playFor(3 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  @Test
  void aLeaderThatCommitsAlone() {
    caught(
        InjectedFault.COMMITS_ALONE,
        InjectedFaultsTest::leaderIsCut,
        "invariant broken: what is committed is written over at N");
  }

  /** What two voters took in is lost with their disks' last writes, if they said so too early. */
  private static String twoCrash(TestCluster town) {
    String trouble = settled(town);
    town.fleet.playFor(TestCluster.SECOND);
    String leader = town.leader();
    List<String> others = town.voters.stream().filter(name -> !name.equals(leader)).toList();
    alone(town, others.get(1));
    town.fleet.between("g1", others.get(1), Fault.CUT);
    town.slowDisks(3 * TestCluster.SECOND);
    for (int i = 0; i < 4; i++) {
      town.prepare(
          "g1",
          TestCluster.definition("kept" + i, "select 'one' from orders_17.orders", 17),
          any -> {});
    }
    town.fleet.playFor(1200 * TestCluster.MS);
    town.crash(leader);
    town.crash(others.get(0));
    town.fleet.heal();
    town.slowDisks(5);
    town.start(leader);
    town.start(others.get(0));
    town.until(10 * TestCluster.SECOND, () -> !town.leader().equals("none"));
    for (int i = 1; i < 4; i++) {
      town.prepare(
          "g2",
          TestCluster.definition("kept" + i, "select 'other' from orders_17.orders", 17),
          any -> {});
    }
    town.fleet.playFor(4 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  @Test
  void aVoterThatAnswersBeforeItsDisk() {
    caught(
        InjectedFault.ANSWERS_BEFORE_KEPT,
        InjectedFaultsTest::twoCrash,
        "keptN has two texts in generation N");
  }

  /**
   * An entry that two voters hold; one of them comes back from a disk of before, while the other is
   * cut off.
   */
  private static String oldDisk(TestCluster town) {
    String trouble = settled(town);
    town.fleet.playFor(TestCluster.SECOND);
    String leader = town.leader();
    List<String> others = town.voters.stream().filter(name -> !name.equals(leader)).toList();
    String forgetful = others.get(0);
    String behind = others.get(1);
    alone(town, behind);
    NavigableMap<String, byte[]> copy = town.copyOf(forgetful);
    town.prepare(
        "g1", TestCluster.definition("kept", "select 'one' from orders_17.orders", 17), any -> {});
    town.fleet.playFor(TestCluster.SECOND);
    town.fleet.heal();
    alone(town, leader);
    town.startOld(forgetful, copy);
    town.until(
        8 * TestCluster.SECOND,
        () -> town.leader().contains("+") || town.leader().equals(forgetful));
    town.prepare(
        "g2",
        TestCluster.definition("kept", "select 'other' from orders_17.orders", 17),
        any -> {});
    town.fleet.playFor(3 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  @Test
  void aVoterThatTrustsAnOldDisk() {
    caught(
        InjectedFault.TRUSTS_OLD_DISK,
        InjectedFaultsTest::oldDisk,
        "invariant broken: what is committed is written over at N");
  }

  /** A change while an engine is at a hop for as long as the lease lasts. */
  private static String changeWhileHopIsOut(TestCluster town) {
    town.worksFor = 4 * TestCluster.SECOND;
    String trouble = settled(town);
    // A voter that has just started is clear of nothing.
    town.fleet.playFor(2 * TestCluster.SECOND);
    town.run("g1", "top");
    town.fleet.playFor(10 * TestCluster.MS);
    town.announce("g2", TestCluster.untouched(17), any -> {});
    town.fleet.playFor(5 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  /** A change after a gateway gave a hop up, with its engine still at it. */
  private static String changeAfterDoubt(TestCluster town) {
    town.worksFor = 20 * TestCluster.MS;
    town.inDoubt = 1;
    String trouble = settled(town);
    // A voter that has just started is clear of nothing.
    town.fleet.playFor(2 * TestCluster.SECOND);
    town.run("g1", "top");
    town.fleet.playFor(50 * TestCluster.MS);
    town.announce("g2", TestCluster.untouched(17), any -> {});
    town.fleet.playFor(5 * TestCluster.SECOND);
    return trouble == null ? calmAgain(town) : trouble;
  }

  @Test
  void aGatewayThatGivesALeaseBackUnderAHop() {
    String words =
        "N ms: group N changes while a hop of gN is at an engine, under a lease until N ms";
    caught(InjectedFault.GIVES_BACK_WITH_HOPS_OUT, InjectedFaultsTest::changeWhileHopIsOut, words);
    caught(InjectedFault.TRUSTS_ENDINGS, InjectedFaultsTest::changeAfterDoubt, words);
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
