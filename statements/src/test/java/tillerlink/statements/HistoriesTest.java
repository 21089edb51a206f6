package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Invariant;

class HistoriesTest {
  private static final int HISTORIES = Integer.getInteger("tillerlink.histories", 40);

  /**
   * Plays random histories with load, changes and faults. The test fails if a run used an old
   * schema, or if catalogs still differ after the faults are healed.
   */
  @Test
  void historiesRunNoStatementUnderAnOldSchemaAndConverge() {
    play(HISTORIES, Integer.getInteger("tillerlink.seconds", 12));
  }

  private static void play(int histories, int seconds) {
    long runs = 0;
    long effects = 0;
    long rejected = 0;
    long cancelled = 0;
    List<String> failures = new ArrayList<>();
    int first = Integer.getInteger("tillerlink.first", 1);
    for (int seed = first; seed < first + histories; seed++) {
      History history = new History(seed + 100_000L * seconds);
      String failure;
      try {
        failure = history.play(seconds * ClusterFixture.SECOND);
      } catch (Invariant.Broken e) {
        failure = e + " at " + history.cluster.time();
      }
      if (failure != null) {
        failures.add("seed " + seed + ": " + failure);
        if (histories == 1) {
          history.events.forEach(System.out::println);
          history.cluster.warnings.forEach(System.out::println);
          history.cluster.gatewayNames.forEach(
              name -> System.out.println(history.cluster.describe(name)));
        }
      }
      runs += history.cluster.audit.runs();
      effects += history.cluster.audit.effects();
      rejected += history.cluster.audit.rejected();
      cancelled += history.cluster.audit.cancelled();
    }
    System.out.println(
        histories
            + " histories of "
            + seconds
            + " s, "
            + runs
            + " runs, "
            + rejected
            + " rejected, "
            + cancelled
            + " cancelled, "
            + effects
            + " effects, "
            + failures.size()
            + " failed");
    assertEquals(List.of(), failures);
    assertTrue(runs > histories * 20L && effects > histories / 4);
  }
}
