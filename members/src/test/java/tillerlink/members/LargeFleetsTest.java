package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;

/**
 * Tests fleets of 30, 120 and 1,000 members: all members join, one dies, all others detect its
 * death, and no live member is declared failed.
 */
class LargeFleetsTest {
  private static final long MAX_JOIN_TIME = 60 * MemberFleet.SECOND;

  private static void assertJoinsAndDetectsADeath(int size) {
    MembershipConfig config = MembershipConfig.usual();
    MemberFleet fleet = new MemberFleet(size, config);
    fleet.observe(
        change -> {
          if (change.current() == Reachability.GONE) {
            fleet.changes.add(change);
          }
        });
    for (int i = 0; i < size; i++) {
      fleet.start("m" + i, MemberFleet.address("m0"), MemberFleet.address("m1"));
    }
    long interval = size < 1000 ? MemberFleet.SECOND / 2 : 2 * MemberFleet.SECOND;
    long joined = fleet.runUntilConverged(MAX_JOIN_TIME, interval);
    assertTrue(joined >= 0, size + " members did not converge within " + seconds(MAX_JOIN_TIME));
    assertTrue(fleet.changes.isEmpty(), () -> "declared failed: " + fleet.changes.get(0));
    String dead = "m" + size / 2;
    fleet.kill(dead);
    long killedAt = fleet.network.now();
    // The time allows for a probe of the member, the longest suspicion, and the gossip of its
    // failure.
    long maxDetectionTime = config.maxSuspicionTime(size) + 20 * MemberFleet.SECOND;
    long detected = fleet.runUntilConverged(maxDetectionTime, interval);
    assertTrue(
        detected >= 0,
        () -> "not all of " + size + " detected a death within " + seconds(maxDetectionTime));
    Set<String> observers = new TreeSet<>();
    for (MemberFleet.Change change : fleet.changes) {
      assertTrue(
          change.member().equals(dead) && change.at() >= killedAt,
          () -> "live member declared failed: " + change);
      observers.add(change.observer());
    }
    assertEquals(size - 1, observers.size(), "members that declared it failed");
    System.out.println(
        size
            + " members: converged after "
            + joined / 10
            + " ms, a death detected by all after "
            + detected / 10
            + " ms, "
            + fleet.network.sent()
            + " messages");
  }

  private static String seconds(long time) {
    return time / MemberFleet.SECOND + " s";
  }

  @Test
  void thirtyMembersJoinAndDetectADeath() {
    assertJoinsAndDetectsADeath(30);
  }

  @Test
  void oneHundredAndTwentyMembersJoinAndDetectADeath() {
    assertJoinsAndDetectsADeath(120);
  }

  @Test
  void oneThousandMembersJoinAndDetectADeath() {
    assertJoinsAndDetectsADeath(1000);
  }
}
