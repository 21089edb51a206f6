package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A change of the schema while an engine is, or may be, at an attempt that was written before it
 * was announced.
 */
class AttemptsTest {
  private static final long LEASE = 3 * ClusterFixture.SECOND;
  private final ClusterFixture cluster = new ClusterFixture(3, 3, 2);

  private void settled() {
    cluster.leaseLength = LEASE;
    cluster.startAll();
    assertTrue(cluster.until(10 * ClusterFixture.SECOND, () -> !cluster.leader().equals("none")));
    cluster.prepare(
        "g1", ClusterFixture.definition("top", "select 1 from orders_17.orders", 17), any -> {});
    assertTrue(cluster.until(5 * ClusterFixture.SECOND, () -> runs("g1") && runs("g2")));
    // A voter that has just started is clear of nothing.
    cluster.fleet.playFor(2 * LEASE);
  }

  private boolean runs(String at) {
    return cluster.mayRun(at, "top").startsWith("yes");
  }

  /** Announces a change and waits until it is in effect; how long that took. */
  private long change() {
    long version = cluster.part("g2").catalog().version(17);
    long from = cluster.fleet.now();
    cluster.announce("g2", ClusterFixture.untouched(17), any -> {});
    assertTrue(
        cluster.until(
            20 * ClusterFixture.SECOND, () -> cluster.part("g2").catalog().version(17) > version));
    assertEquals(List.of(), cluster.audit.violations);
    return cluster.fleet.now() - from;
  }

  private void run(long worksFor, double inDoubt) {
    cluster.worksFor = worksFor;
    cluster.inDoubt = inDoubt;
    cluster.run("g1", "top");
    cluster.fleet.playFor(20 * ClusterFixture.MS);
    assertEquals(1, cluster.audit.runs);
  }

  @Test
  void itTakesEffectRightAfterTheAttemptEnded() {
    settled();
    run(ClusterFixture.SECOND, 0);
    long took = change();
    assertTrue(
        took >= 950 * ClusterFixture.MS && took <= 1100 * ClusterFixture.MS, took / 10 + " ms");
  }

  @Test
  void itTakesEffectOnceTheLeaseRanOutUnderAnAttemptThatGoesOn() {
    settled();
    run(10 * ClusterFixture.SECOND, 0);
    long took = change();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void anAttemptThatMayBeOutIsNoReasonToGiveALeaseBack() {
    settled();
    run(10 * ClusterFixture.MS, 1);
    long took = change();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void itIsForgottenOnceItCannotBeOutAnyMore() {
    settled();
    run(10 * ClusterFixture.MS, 1);
    cluster.fleet.playFor(LEASE + ClusterFixture.SECOND);
    long took = change();
    assertTrue(took <= 50 * ClusterFixture.MS, took / 10 + " ms");
  }

  /**
   * A process that was stopped drops its leases; those that an attempt is out under are not given
   * back for that.
   */
  @Test
  void aPauseEndsNoAttempt() {
    settled();
    run(2 * ClusterFixture.SECOND, 0);
    cluster.pause("g1");
    cluster.fleet.playFor(400 * ClusterFixture.MS);
    cluster.resume("g1");
    cluster.fleet.playFor(20 * ClusterFixture.MS);
    long took = change();
    assertTrue(
        took >= ClusterFixture.SECOND && took <= 1700 * ClusterFixture.MS, took / 10 + " ms");
  }

  /** A process that ends gives back what no attempt is out under. */
  @Test
  void whoLeavesGivesBackWhatNoAttemptIsOutUnder() {
    settled();
    cluster.leave("g1");
    long took = change();
    assertTrue(took <= 50 * ClusterFixture.MS, took / 10 + " ms");
  }

  @Test
  void whoLeavesWithAnAttemptOutGivesNothingBackUnderIt() {
    settled();
    run(10 * ClusterFixture.SECOND, 0);
    cluster.leave("g1");
    long took = change();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }
}
