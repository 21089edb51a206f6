package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;

/** Fleets of 30, 120 and 1,000: all know all, one dies, all learn it, nobody else is given up. */
class LargeFleetsTest {
  private static final long ALL_KNOWN_WITHIN = 60 * Play.SECOND;

  private static void played(int size) {
    MembershipConfig periods = MembershipConfig.usual();
    Play play = new Play(size, periods);
    play.heard =
        change -> {
          if (change.is() == Reachability.GONE) {
            play.changes.add(change);
          }
        };
    for (int i = 0; i < size; i++) {
      play.start("m" + i, Play.at("m0"), Play.at("m1"));
    }
    long every = size < 1000 ? Play.SECOND / 2 : 2 * Play.SECOND;
    long known = play.untilAgreed(ALL_KNOWN_WITHIN, every);
    assertTrue(
        known >= 0,
        size + " members do not all know all within " + ALL_KNOWN_WITHIN / Play.SECOND + " s");
    assertTrue(play.changes.isEmpty(), () -> "given up though it lives: " + play.changes.get(0));
    String dead = "m" + size / 2;
    play.kill(dead);
    long killed = play.fleet.now();
    // A probe that meets it, the longest suspicion, and the news of it.
    long within = periods.maxSuspicionTime(size) + 20 * Play.SECOND;
    long learnt = play.untilAgreed(within, every);
    assertTrue(
        learnt >= 0,
        () -> "not all of " + size + " learnt of a death within " + within / Play.SECOND + " s");
    Set<String> told = new TreeSet<>();
    play.changes.forEach(
        change -> {
          assertTrue(
              change.of().equals(dead) && change.at() >= killed,
              () -> "given up though it lives: " + change);
          told.add(change.by());
        });
    assertTrue(told.size() == size - 1, () -> told.size() + " of " + (size - 1) + " gave it up");
    System.out.println(
        size
            + " members: all known after "
            + known / 10
            + " ms, a death known to all after "
            + learnt / 10
            + " ms, "
            + play.fleet.sent()
            + " messages");
  }

  @Test
  void thirty() {
    played(30);
  }

  @Test
  void oneHundredAndTwenty() {
    played(120);
  }

  @Test
  void oneThousand() {
    played(1000);
  }
}
