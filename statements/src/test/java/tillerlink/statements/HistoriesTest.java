package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Invariant;

class HistoriesTest {
  private static final int HISTORIES = Integer.getInteger("tillerlink.histories", 40);

  @Test
  void noHistoryRunsAnOldStatementAndAllAgreeInTheEnd() {
    play(HISTORIES, Integer.getInteger("tillerlink.seconds", 12));
  }

  private static void play(int histories, int seconds) {
    long runs = 0;
    long effects = 0;
    long turnedBack = 0;
    long calledOff = 0;
    List<String> wrong = new ArrayList<>();
    int first = Integer.getInteger("tillerlink.first", 1);
    for (int seed = first; seed < first + histories; seed++) {
      History history = new History(seed + 100_000L * seconds);
      String what;
      try {
        what = history.play(seconds * ClusterFixture.SECOND);
      } catch (Invariant.Broken e) {
        what = e + " at " + history.cluster.at();
      }
      if (what != null) {
        wrong.add("seed " + seed + ": " + what);
        if (histories == 1) {
          history.events.forEach(System.out::println);
          history.cluster.notes.forEach(System.out::println);
          history.cluster.all.forEach(name -> System.out.println(history.cluster.told(name)));
        }
      }
      runs += history.cluster.audit.runs;
      effects += history.cluster.audit.effects;
      turnedBack += history.cluster.audit.turnedBack;
      calledOff += history.cluster.audit.calledOff;
    }
    System.out.println(
        histories
            + " histories of "
            + seconds
            + " s, "
            + runs
            + " runs, "
            + turnedBack
            + " turned back, "
            + calledOff
            + " called off, "
            + effects
            + " effects, "
            + wrong.size()
            + " wrong");
    assertEquals(List.of(), wrong);
    assertTrue(runs > histories * 20L && effects > histories / 4);
  }
}
