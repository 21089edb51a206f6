package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A change of the schema while an engine is, or may be, at a hop that was written before it was
 * announced.
 */
class AttemptsTest {
  private static final long LEASE = 3 * TestCluster.SECOND;
  private final TestCluster town = new TestCluster(3, 3, 2);

  private void settled() {
    town.leaseLength = LEASE;
    town.startAll();
    assertTrue(town.until(10 * TestCluster.SECOND, () -> !town.leader().equals("none")));
    town.prepare(
        "g1", TestCluster.definition("top", "select 1 from orders_17.orders", 17), any -> {});
    assertTrue(town.until(5 * TestCluster.SECOND, () -> runs("g1") && runs("g2")));
    // A voter that has just started is clear of nothing.
    town.fleet.playFor(2 * LEASE);
  }

  private boolean runs(String at) {
    return town.mayRun(at, "top").startsWith("yes");
  }

  /** Announces a change and waits until it is in effect; how long that took. */
  private long change() {
    long version = town.part("g2").catalog().version(17);
    long from = town.fleet.now();
    town.announce("g2", TestCluster.untouched(17), any -> {});
    assertTrue(
        town.until(20 * TestCluster.SECOND, () -> town.part("g2").catalog().version(17) > version));
    assertEquals(List.of(), town.audit.violations);
    return town.fleet.now() - from;
  }

  private void run(long worksFor, double inDoubt) {
    town.worksFor = worksFor;
    town.inDoubt = inDoubt;
    town.run("g1", "top");
    town.fleet.playFor(20 * TestCluster.MS);
    assertEquals(1, town.audit.runs);
  }

  @Test
  void itTakesEffectRightAfterTheHopEnded() {
    settled();
    run(TestCluster.SECOND, 0);
    long took = change();
    assertTrue(took >= 950 * TestCluster.MS && took <= 1100 * TestCluster.MS, took / 10 + " ms");
  }

  @Test
  void itTakesEffectOnceTheLeaseRanOutUnderAHopThatGoesOn() {
    settled();
    run(10 * TestCluster.SECOND, 0);
    long took = change();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void aHopThatMayBeOutIsNoReasonToGiveALeaseBack() {
    settled();
    run(10 * TestCluster.MS, 1);
    long took = change();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void itIsForgottenOnceItCannotBeOutAnyMore() {
    settled();
    run(10 * TestCluster.MS, 1);
    town.fleet.playFor(LEASE + TestCluster.SECOND);
    long took = change();
    assertTrue(took <= 50 * TestCluster.MS, took / 10 + " ms");
  }

  /**
   * A process that was stopped drops its leases; those that a hop is out under are not given back
   * for that.
   */
  @Test
  void aPauseEndsNoHop() {
    settled();
    run(2 * TestCluster.SECOND, 0);
    town.pause("g1");
    town.fleet.playFor(400 * TestCluster.MS);
    town.resume("g1");
    town.fleet.playFor(20 * TestCluster.MS);
    long took = change();
    assertTrue(took >= TestCluster.SECOND && took <= 1700 * TestCluster.MS, took / 10 + " ms");
  }

  /** A process that ends gives back what no hop is out under. */
  @Test
  void whoLeavesGivesBackWhatNoHopIsOutUnder() {
    settled();
    town.leave("g1");
    long took = change();
    assertTrue(took <= 50 * TestCluster.MS, took / 10 + " ms");
  }

  @Test
  void whoLeavesWithAHopOutGivesNothingBackUnderIt() {
    settled();
    run(10 * TestCluster.SECOND, 0);
    town.leave("g1");
    long took = change();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }
}
