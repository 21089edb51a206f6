package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A change of the schema while an engine executes, or may execute, an attempt that was written
 * before the change was announced.
 */
class AttemptsTest {
  private static final long LEASE = 3 * ClusterFixture.SECOND;
  private final ClusterFixture cluster = new ClusterFixture(3, 3, 2);

  private void startAndPrepare() {
    cluster.setLeaseLength(LEASE);
    cluster.startAll();
    assertTrue(cluster.playUntil(10 * ClusterFixture.SECOND, cluster::hasLeader));
    cluster.prepare(
        "g1", Fixtures.definition("top", "select 1 from orders_17.orders", 17), any -> {});
    assertTrue(cluster.playUntil(5 * ClusterFixture.SECOND, () -> runs("g1") && runs("g2")));
    // A voter that has just started is clear of no change.
    cluster.fleet.playFor(2 * LEASE);
  }

  private boolean runs(String at) {
    return cluster.canRun(at, "top");
  }

  /** Announces a change and waits until it is in effect; how long that took. */
  private long announceAndAwaitEffect() {
    long version = cluster.statements("g2").catalog().version(17);
    long from = cluster.fleet.now();
    cluster.announce("g2", Fixtures.untouched(17), any -> {});
    assertTrue(
        cluster.playUntil(
            20 * ClusterFixture.SECOND,
            () -> cluster.statements("g2").catalog().version(17) > version));
    assertEquals(List.of(), cluster.audit.violations());
    return cluster.fleet.now() - from;
  }

  private void run(long executionTime, double uncertainShare) {
    cluster.setExecutionTime(executionTime);
    cluster.setUncertainShare(uncertainShare);
    cluster.run("g1", "top");
    cluster.fleet.playFor(20 * ClusterFixture.MS);
    assertEquals(1, cluster.audit.runs());
  }

  @Test
  void aChangeTakesEffectOnceTheAttemptEnded() {
    startAndPrepare();
    run(ClusterFixture.SECOND, 0);
    long took = announceAndAwaitEffect();
    assertTrue(
        took >= 950 * ClusterFixture.MS && took <= 1100 * ClusterFixture.MS, took / 10 + " ms");
  }

  @Test
  void aChangeTakesEffectOnceTheLeaseExpiredUnderALongAttempt() {
    startAndPrepare();
    run(10 * ClusterFixture.SECOND, 0);
    long took = announceAndAwaitEffect();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void anUncertainAttemptKeepsItsLeaseFromBeingReleased() {
    startAndPrepare();
    run(10 * ClusterFixture.MS, 1);
    long took = announceAndAwaitEffect();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void anUncertainAttemptIsForgottenAfterItsDeadline() {
    startAndPrepare();
    run(10 * ClusterFixture.MS, 1);
    cluster.fleet.playFor(LEASE + ClusterFixture.SECOND);
    long took = announceAndAwaitEffect();
    assertTrue(took <= 50 * ClusterFixture.MS, took / 10 + " ms");
  }

  /**
   * A process that was paused drops its leases, but does not release those of attempts in flight.
   */
  @Test
  void aPauseDoesNotEndAttempts() {
    startAndPrepare();
    run(2 * ClusterFixture.SECOND, 0);
    cluster.pause("g1");
    cluster.fleet.playFor(400 * ClusterFixture.MS);
    cluster.resume("g1");
    cluster.fleet.playFor(20 * ClusterFixture.MS);
    long took = announceAndAwaitEffect();
    assertTrue(
        took >= ClusterFixture.SECOND && took <= 1700 * ClusterFixture.MS, took / 10 + " ms");
  }

  /** A process that ends releases leases that no attempt runs under. */
  @Test
  void shutdownReleasesLeasesWithoutAttempts() {
    startAndPrepare();
    cluster.shutDown("g1");
    long took = announceAndAwaitEffect();
    assertTrue(took <= 50 * ClusterFixture.MS, took / 10 + " ms");
  }

  @Test
  void shutdownKeepsLeasesOfAttemptsInFlight() {
    startAndPrepare();
    run(10 * ClusterFixture.SECOND, 0);
    cluster.shutDown("g1");
    long took = announceAndAwaitEffect();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }
}
