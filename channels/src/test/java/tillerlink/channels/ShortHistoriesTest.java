package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.simulation.Seeds;

/**
 * Runs many short histories: one gateway at each of three sites, three to ten appends, one or two
 * faults, and then the audit that all gateways agree.
 */
class ShortHistoriesTest {
  private static final class ShortHistory implements Seeds.Seeded {
    final History history;

    ShortHistory(long seed) {
      // A history whose seed is a multiple of four has a fleet of three gateways.
      history = new History(seed * 4, 0);
    }

    @Override
    public String play() {
      List<String> violations = history.runShort();
      return violations.isEmpty()
          ? null
          : violations.subList(0, Math.min(3, violations.size())).toString();
    }

    @Override
    public String trace() {
      return String.join("\n", history.actions) + "\n" + String.join("\n", history.fleet.log);
    }

    @Override
    public long[] sums() {
      return new long[] {
        history.faultCount,
        history.appendCount,
        history.fleet.appended.size(),
        history.fleet.refused
      };
    }
  }

  @Test
  void stableEventsNeverChangeAndAllGatewaysConverge() {
    long[] sums = Seeds.play("channels", 6000, ShortHistory::new);
    System.out.println(
        sums[0]
            + " short histories of channels: "
            + sums[1]
            + " faults, "
            + sums[2]
            + " appends, "
            + sums[3]
            + " answered, "
            + sums[4]
            + " refused");
    assertTrue(sums[0] < 100 || (sums[1] >= sums[0] && sums[3] >= 3 * sums[0]));
  }
}
