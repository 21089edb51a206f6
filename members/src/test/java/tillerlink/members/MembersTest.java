package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/** Members in virtual time. */
class MembersTest {
  private static String[] names(int size) {
    return IntStream.range(0, size).mapToObj(i -> String.format("g%03d", i)).toArray(String[]::new);
  }

  @Test
  void knowEachOtherAndFindOneDead() {
    for (int size : new int[] {2, 3, 12, 30}) {
      Play play = new Play(size, MembershipConfig.usual());
      play.startAll(names(size));
      long joined = play.untilAgreed(20 * Play.SECOND);
      assertTrue(joined >= 0, "joined");
      play.fleet.playFor(20 * Play.SECOND);
      assertTrue(play.agreed());
      assertTrue(
          play.changes.stream().noneMatch(change -> change.is() != Reachability.REACHABLE),
          play.changes::toString);
      play.kill("g001");
      long found = play.untilAgreed(30 * Play.SECOND);
      assertTrue(found >= 0, play.changes::toString);
      play.start("g001", Play.at("g000"));
      long back = play.untilAgreed(30 * Play.SECOND);
      assertTrue(back >= 0, play.changes::toString);
    }
  }

  @Test
  void cutBetweenTwoThatOthersReachIsThroughOthers() {
    Play play = new Play(5, MembershipConfig.usual());
    play.startAll("a", "b", "c");
    assertTrue(play.untilAgreed(20 * Play.SECOND) >= 0);
    play.fleet.between(Play.at("a"), Play.at("b"), Fault.CUT);
    play.changes.clear();
    play.fleet.playFor(120 * Play.SECOND);
    assertEquals(Reachability.THROUGH_OTHERS, play.reach("a", "b"));
    assertEquals(Reachability.THROUGH_OTHERS, play.reach("b", "a"));
    assertEquals(2, play.changes.size(), play.changes::toString);
    play.fleet.heal();
    assertTrue(play.untilAgreed(20 * Play.SECOND) >= 0);
  }

  /**
   * A process that was told to end has said so as often as it should before it goes, however rarely
   * it probes.
   */
  @Test
  void aLeaveIsSaidBeforeTheProcessGoes() {
    for (long period : new long[] {50 * Play.MS, Play.SECOND / 2, 60 * Play.SECOND}) {
      MembershipConfig usual = MembershipConfig.usual();
      Play play =
          new Play(
              7,
              new MembershipConfig(
                  period,
                  period / 4,
                  period,
                  usual.indirectProbes(),
                  usual.suspicionMultiplier(),
                  usual.maxSuspicionMultiplier(),
                  usual.confirmations(),
                  period / 2,
                  usual.gossipFanout(),
                  usual.retransmitMultiplier(),
                  period,
                  10 * period,
                  usual.maxUpdateAge(),
                  usual.forgetAfter(),
                  usual.maxLocalHealthScore(),
                  usual.maxMembers()));
      play.startAll("a", "b", "c");
      assertTrue(play.untilAgreed(40 * period) >= 0);
      play.leave("c");
      play.fleet.playFor(650 * Play.MS);
      assertTrue(play.up.get(Play.at("c")).members.stopped(), period / Play.MS + " ms");
      play.kill("c");
      assertEquals(Reachability.LEFT, play.reach("a", "c"));
      assertEquals(Reachability.LEFT, play.reach("b", "c"));
    }
  }
}
