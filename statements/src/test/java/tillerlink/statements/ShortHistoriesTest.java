package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tillerlink.simulation.Seeds;

/**
 * A test with many short histories of three voters and one learner: statements are prepared and
 * run, one change is announced, one or two faults occur, and the cluster must converge after they
 * are healed.
 */
class ShortHistoriesTest {
  private static final class ShortHistory implements Seeds.Seeded {
    final History history;

    ShortHistory(long seed) {
      history = new History(seed, 3, 1);
    }

    @Override
    public String play() {
      return history.playShortly();
    }

    @Override
    public String trace() {
      StringBuilder out = new StringBuilder();
      history.events.forEach(line -> out.append(line).append('\n'));
      history.cluster.warnings.forEach(line -> out.append(line).append('\n'));
      history.cluster.gatewayNames.forEach(
          name -> out.append(history.cluster.describe(name)).append('\n'));
      return out.toString();
    }

    @Override
    public long[] sums() {
      Audit audit = history.cluster.audit;
      return new long[] {
        history.faults(), audit.runs(), audit.rejected(), audit.cancelled(), audit.effects()
      };
    }
  }

  @Test
  void shortHistoriesRunNoStatementUnderAnOldSchemaAndConverge() {
    long[] sums = Seeds.play("statements", 6000, ShortHistory::new);
    System.out.println(
        sums[0]
            + " short histories of statements: "
            + sums[1]
            + " faults, "
            + sums[2]
            + " runs, "
            + sums[3]
            + " rejected, "
            + sums[4]
            + " cancelled, "
            + sums[5]
            + " effects");
    assertTrue(
        sums[0] < 100 || (sums[1] >= sums[0] && sums[2] > 10 * sums[0] && sums[5] > sums[0] / 2));
  }
}
