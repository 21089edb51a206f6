package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/** Tests joins, failures, cut links and leaves in simulated fleets. */
class MembersTest {
  private static String[] names(int size) {
    return IntStream.range(0, size).mapToObj(i -> String.format("g%03d", i)).toArray(String[]::new);
  }

  @Test
  void fleetsOfDifferentSizesConvergeAndDetectADeathAndARejoin() {
    for (int size : new int[] {2, 3, 12, 30}) {
      MemberFleet fleet = new MemberFleet(size, MembershipConfig.usual());
      fleet.startAll(names(size));
      long joined = fleet.runUntilConverged(20 * MemberFleet.SECOND);
      assertTrue(joined >= 0, () -> size + " members did not converge: " + fleet.changes);
      fleet.network.playFor(20 * MemberFleet.SECOND);
      assertTrue(fleet.hasConverged());
      assertTrue(
          fleet.changes.stream().noneMatch(change -> change.current() != Reachability.REACHABLE),
          fleet.changes::toString);
      fleet.kill("g001");
      long detected = fleet.runUntilConverged(30 * MemberFleet.SECOND);
      assertTrue(detected >= 0, fleet.changes::toString);
      fleet.start("g001", MemberFleet.address("g000"));
      long rejoined = fleet.runUntilConverged(30 * MemberFleet.SECOND);
      assertTrue(rejoined >= 0, fleet.changes::toString);
    }
  }

  @Test
  void membersBehindACutLinkAreReachableThroughOthers() {
    MemberFleet fleet = new MemberFleet(5, MembershipConfig.usual());
    fleet.startAll("a", "b", "c");
    assertTrue(fleet.runUntilConverged(20 * MemberFleet.SECOND) >= 0);
    fleet.network.between(MemberFleet.address("a"), MemberFleet.address("b"), Fault.CUT);
    fleet.changes.clear();
    fleet.network.playFor(120 * MemberFleet.SECOND);
    assertEquals(Reachability.THROUGH_OTHERS, fleet.reachability("a", "b"));
    assertEquals(Reachability.THROUGH_OTHERS, fleet.reachability("b", "a"));
    assertEquals(2, fleet.changes.size(), fleet.changes::toString);
    fleet.network.heal();
    assertTrue(fleet.runUntilConverged(20 * MemberFleet.SECOND) >= 0);
  }

  /**
   * Guards against a leaving process that ends before it has sent all its announcements. That would
   * happen if a long probe interval also delayed the announcements.
   */
  @Test
  void leaveIsAnnouncedBeforeTheProcessEnds() {
    for (long interval :
        new long[] {50 * MemberFleet.MS, MemberFleet.SECOND / 2, 60 * MemberFleet.SECOND}) {
      MembershipConfig usual = MembershipConfig.usual();
      MemberFleet fleet =
          new MemberFleet(
              7,
              new MembershipConfig(
                  interval,
                  interval / 4,
                  interval,
                  usual.indirectProbes(),
                  usual.suspicionMultiplier(),
                  usual.maxSuspicionMultiplier(),
                  usual.confirmations(),
                  interval / 2,
                  usual.gossipFanout(),
                  usual.retransmitMultiplier(),
                  interval,
                  10 * interval,
                  usual.maxUpdateAge(),
                  usual.forgetAfter(),
                  usual.maxLocalHealthScore(),
                  usual.maxMembers()));
      fleet.startAll("a", "b", "c");
      assertTrue(fleet.runUntilConverged(40 * interval) >= 0);
      fleet.leave("c");
      fleet.network.playFor(650 * MemberFleet.MS);
      assertTrue(
          fleet.running.get(MemberFleet.address("c")).members.stopped(),
          interval / MemberFleet.MS + " ms");
      fleet.kill("c");
      assertEquals(Reachability.LEFT, fleet.reachability("a", "c"));
      assertEquals(Reachability.LEFT, fleet.reachability("b", "c"));
    }
  }
}
