package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/** Runs seeded random histories and checks that each fleet converges once its faults have ended. */
class RandomHistoriesTest {
  private static final int HISTORIES = Integer.getInteger("tillerlink.histories", 2000);
  private static final long FIRST_SEED = Long.getLong("tillerlink.first", 0);

  /** Maximum time from the end of the last fault, in tenths of a millisecond. */
  static final long MAX_CONVERGENCE_TIME = 60 * MemberFleet.SECOND;

  @Test
  void everyFleetConvergesAfterTheLastFault() {
    long longest = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
      RandomHistory history = new RandomHistory(seed, MembershipConfig.usual());
      try {
        history.run();
        long took = history.fleet.runUntilConverged(MAX_CONVERGENCE_TIME);
        assertTrue(took >= 0, () -> "no convergence: " + history.views());
        longest = Math.max(longest, took);
        assertOneMemberOfEachName(history.fleet);
      } catch (AssertionError e) {
        throw new AssertionError(
            "seed " + seed + ": " + e.getMessage() + "\n" + history.trace() + history.lastEvents(),
            e);
      }
    }
    System.out.println(
        HISTORIES + " histories, all converged within " + longest / 10 + " ms of the last fault");
  }

  /** Asserts that at most one of several processes with the same name is a member. */
  static void assertOneMemberOfEachName(MemberFleet fleet) {
    for (String name : fleet.persistedIncarnations.keySet()) {
      long members = fleet.processesKeeping(name);
      assertTrue(
          members <= 1, () -> name + " has " + members + " member processes, expected at most 1");
    }
  }

  @Test
  void pausesUnderTwoSecondsAndLostMessagesCauseNoFalseFailure() {
    for (long seed = 0; seed < HISTORIES / 8; seed++) {
      MemberFleet fleet = new MemberFleet(seed, MembershipConfig.usual());
      Random random = new Random(seed);
      int size = 5 + random.nextInt(8);
      for (int i = 0; i < size; i++) {
        fleet.start("m" + i, MemberFleet.address("m0"), MemberFleet.address("m1"));
      }
      assertTrue(fleet.runUntilConverged(20 * MemberFleet.SECOND) >= 0);
      fleet.network.setDefaultFault(
          Fault.bad(random.nextInt(4) / 10.0, 0.1, 10 + random.nextInt(1000)));
      for (int i = 0; i < 10; i++) {
        String address = MemberFleet.address("m" + random.nextInt(size));
        fleet.network.pause(address);
        fleet.network.playFor(random.nextInt(20_000));
        fleet.network.resume(address);
        fleet.network.playFor(random.nextInt(40_000));
      }
      long declaredFailed =
          fleet.changes.stream().filter(change -> change.current() == Reachability.GONE).count();
      assertEquals(
          0,
          declaredFailed,
          "live members declared failed with seed " + seed + ": " + fleet.changes);
    }
  }
}
