package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests of a schema change while an engine executes, or may execute, an attempt that was written
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
        "g1", Fixtures.definition("top", "select 1 from orders_17.orders", 17), outcome -> {});
    assertTrue(cluster.playUntil(5 * ClusterFixture.SECOND, () -> canRun("g1") && canRun("g2")));
    // A voter confirms no change until leases granted before its start have expired.
    cluster.fleet.playFor(2 * LEASE);
  }

  private boolean canRun(String at) {
    return cluster.canRun(at, "top");
  }

  /**
   * Announces a change, waits until it is in effect and checks that no run violated a rule.
   *
   * @return the time from the announcement to the effect, in tenths of a millisecond
   */
  private long announceAndAwaitEffect() {
    long version = cluster.statements("g2").catalog().version(17);
    long announcedAt = cluster.fleet.now();
    cluster.announce("g2", Fixtures.untouched(17), outcome -> {});
    assertTrue(
        cluster.playUntil(
            20 * ClusterFixture.SECOND,
            () -> cluster.statements("g2").catalog().version(17) > version));
    assertEquals(List.of(), cluster.audit.violations());
    return cluster.fleet.now() - announcedAt;
  }

  /** Writes one attempt at g1, and waits until it is written. */
  private void run(long executionTime, double uncertainShare) {
    cluster.setExecutionTime(executionTime);
    cluster.setUncertainShare(uncertainShare);
    cluster.run("g1", "top");
    cluster.fleet.playFor(20 * ClusterFixture.MS);
    assertEquals(1, cluster.audit.runs());
  }

  @Test
  void changeTakesEffectOnceTheAttemptHasEnded() {
    startAndPrepare();
    run(ClusterFixture.SECOND, 0);
    long took = announceAndAwaitEffect();
    assertTrue(
        took >= 950 * ClusterFixture.MS && took <= 1100 * ClusterFixture.MS, took / 10 + " ms");
  }

  @Test
  void changeTakesEffectOnceTheLeaseOfALongAttemptHasExpired() {
    startAndPrepare();
    run(10 * ClusterFixture.SECOND, 0);
    long took = announceAndAwaitEffect();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void leaseOfAnUncertainAttemptIsNotReleased() {
    startAndPrepare();
    run(10 * ClusterFixture.MS, 1);
    long took = announceAndAwaitEffect();
    assertTrue(took >= LEASE / 2 && took <= LEASE * 11 / 10, took / 10 + " ms");
  }

  @Test
  void uncertainAttemptNoLongerDelaysChangesAfterItsDeadline() {
    startAndPrepare();
    run(10 * ClusterFixture.MS, 1);
    cluster.fleet.playFor(LEASE + ClusterFixture.SECOND);
    long took = announceAndAwaitEffect();
    assertTrue(took <= 50 * ClusterFixture.MS, took / 10 + " ms");
  }

  /**
   * A process drops its leases after a pause. If it also released those of attempts in flight, a
   * change could take effect while an engine still executes an attempt.
   */
  @Test
  void pauseKeepsLeasesOfAttemptsInFlight() {
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

  /** A process releases leases without attempts at shutdown, so that changes need not wait. */
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
