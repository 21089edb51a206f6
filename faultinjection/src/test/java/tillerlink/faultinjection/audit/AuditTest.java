package tillerlink.faultinjection.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Each rule of the outside audit, broken once on purpose beside a history that keeps it. */
class AuditTest {
  private static LogLine stable(long place, String id) {
    return new LogLine(place, id, true, "text of " + id);
  }

  private static LogLine tail(long place, String id) {
    return new LogLine(place, id, false, "text of " + id);
  }

  /** A history in which all rules hold. */
  private static void fair(Audit audit) {
    audit.handedIn("a1", "UPDATE 1", true);
    audit.ran("e1", "UPDATE 1");
    audit.answered("a1", 200);
    audit.handedIn("a2", "SELECT 2", false);
    audit.ran("e1", "SELECT 2");
    audit.ran("e2", "SELECT 2");
    audit.answered("a2", 200);
    audit.handedIn("a3", "UPDATE 3", true);
    audit.answered("a3", 503);
    audit.taken("c", "n0", 0, "k1", "s0.1");
    audit.taken("c", "n0", 0, "k1", "s0.1");
    audit.taken("c", "n1", 0, null, "s1.1");
    audit.read("c", "n0", List.of(tail(0, "s0.1")));
    audit.read("c", "n1", List.of(stable(0, "s1.1"), tail(1, "s0.1")));
    audit.last("c", "n0", List.of(stable(0, "s1.1"), stable(1, "s0.1")));
    audit.last("c", "n1", List.of(stable(0, "s1.1"), tail(1, "s0.1")));
    audit.effect("cues", 2, 100);
    audit.runAsked("m1", "n0", "cues", 50);
    audit.preparedRan("m1", "e1", 1);
    audit.runAsked("m2", "n0", "cues", 150);
    audit.preparedRan("m2", "e1", 2);
    audit.stands("n0", 0, "find", 1, "SELECT 1");
    audit.stands("n0", 0, "find", 2, "SELECT 2");
  }

  private static String play(Consumer<Audit> planted) {
    Audit audit = new Audit();
    fair(audit);
    planted.accept(audit);
    return String.join(
        "; ", audit.end().stream().map(violation -> violation.rule().name()).distinct().toList());
  }

  @Test
  void aFairHistoryPasses() {
    assertEquals("", play(audit -> {}));
  }

  @Test
  void whatIsPlantedIsCaught() {
    List<String> caught = new ArrayList<>();
    caught.add(play(a -> a.answered("a2", 503)));
    caught.add(play(a -> a.handedIn("b1", "UPDATE 9", true)));
    caught.add(play(a -> a.ran("e2", "UPDATE 1")));
    caught.add(play(a -> a.ran("e2", "UPDATE 3")));
    caught.add(
        play(
            a -> {
              a.handedIn("b2", "SELECT 9", false);
              a.answered("b2", 200);
            }));
    caught.add(play(a -> a.taken("c", "n1", 0, null, "s1.2")));
    caught.add(
        play(
            a ->
                a.last("c", "n1", List.of(stable(0, "s1.1"), stable(1, "s0.1"), tail(2, "s0.1")))));
    caught.add(
        play(a -> a.read("c", "n1", List.of(new LogLine(1, "s0.1", false, "another text")))));
    caught.add(play(a -> a.read("c", "n1", List.of(stable(0, "s0.1")))));
    caught.add(
        play(
            a ->
                a.last("c", "n1", List.of(stable(0, "s1.1"), stable(1, "s0.1"), tail(2, "s0.7")))));
    caught.add(play(a -> a.taken("c", "n0", 0, "k1", "s1.1")));
    caught.add(
        play(
            a -> {
              a.taken("c", "n0", 0, null, "s1.1");
            }));
    caught.add(
        play(
            a -> {
              a.runAsked("m3", "n1", "cues", 150);
              a.preparedRan("m3", "e1", 1);
            }));
    caught.add(play(a -> a.stands("n0", 0, "find", 1, "SELECT 1")));
    caught.add(play(a -> a.stands("n1", 0, "find", 2, "SELECT 1")));
    assertEquals(
        List.of(
            "ONE_ANSWER",
            "ONE_ANSWER",
            "RUN_TWICE",
            "ANSWER_UNTRUE",
            "ANSWER_UNTRUE",
            "APPEND_LOST",
            "APPEND_LOST; LOGS_DIFFER",
            "TWO_CONTENTS",
            "STABLE_CHANGED",
            "LOGS_DIFFER",
            "KEY_TWICE",
            "ORDER_OF_CAUSE",
            "OLD_SCHEMA",
            "GENERATION_FELL",
            "GENERATION_FELL"),
        caught);
  }

  /** Guards the audit against taking for a fault what nobody could know. */
  @Test
  void whatNobodyCouldKnowIsExcused() {
    assertEquals(
        "",
        play(
            audit -> {
              audit.handedIn("b3", "UPDATE 7", true);
              audit.ran("e1", "UPDATE 7");
              audit.excused("b3");
              audit.taken("c", "n0", 1, "k1", "s0.1");
              audit.taken("c", "n0", 1, null, "s0.2");
              audit.diskLost("n0");
            }));
  }
}
