package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Seeds;

/** Runs many short histories of three to five members that converge after one to three faults. */
class ShortRandomHistoriesTest {
  private static final class ShortHistory implements Seeds.Seeded {
    private final RandomHistory history;
    private long convergenceTime;

    ShortHistory(long seed) {
      int size = 3 + (int) (seed % 3);
      history = new RandomHistory(seed, MembershipConfig.usual(), new ComponentFactories(), size);
    }

    @Override
    public String play() {
      history.runShort();
      convergenceTime = history.fleet.runUntilConverged(RandomHistoriesTest.MAX_CONVERGENCE_TIME);
      if (convergenceTime < 0) {
        return "no convergence: " + history.views();
      }
      RandomHistoriesTest.assertOneMemberOfEachName(history.fleet);
      return null;
    }

    @Override
    public String trace() {
      return history.trace() + history.lastEvents();
    }

    @Override
    public long[] sums() {
      return new long[] {
        history.faults(),
        history.fleet.changes.size(),
        history.fleet.network.sent(),
        convergenceTime
      };
    }
  }

  @Test
  void everyFleetConvergesAfterTheLastFault() {
    long[] sums = Seeds.play("members", 8000, ShortHistory::new);
    long histories = sums[0];
    long faults = sums[1];
    long changes = sums[2];
    System.out.println(
        histories
            + " short histories of members: "
            + faults
            + " faults and starts, "
            + changes
            + " changes observed, "
            + sums[3]
            + " messages, converged "
            + sums[4] / histories / 10
            + " ms after the last fault on average");
    assertTrue(histories < 100 || (faults >= histories && changes >= 6 * histories));
  }
}
