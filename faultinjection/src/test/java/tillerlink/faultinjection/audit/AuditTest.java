package tillerlink.faultinjection.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests that the audit detects each violation injected after a history that keeps all rules. */
class AuditTest {
  private static ChannelLogEntry stable(long position, String id) {
    return new ChannelLogEntry(position, id, true, "text of " + id);
  }

  private static ChannelLogEntry provisional(long position, String id) {
    return new ChannelLogEntry(position, id, false, "text of " + id);
  }

  /** Records observations that violate no rule. */
  private static void recordValidHistory(Audit audit) {
    audit.submitted("a1", "UPDATE 1", true);
    audit.ran("e1", "UPDATE 1");
    audit.answered("a1", 200);
    audit.submitted("a2", "SELECT 2", false);
    audit.ran("e1", "SELECT 2");
    audit.ran("e2", "SELECT 2");
    audit.answered("a2", 200);
    audit.submitted("a3", "UPDATE 3", true);
    audit.answered("a3", 503);
    audit.appended("c", "n0", 0, "k1", "s0.1");
    audit.appended("c", "n0", 0, "k1", "s0.1");
    audit.appended("c", "n1", 0, null, "s1.1");
    audit.read("c", "n0", List.of(provisional(0, "s0.1")));
    audit.read("c", "n1", List.of(stable(0, "s1.1"), provisional(1, "s0.1")));
    audit.last("c", "n0", List.of(stable(0, "s1.1"), stable(1, "s0.1")));
    audit.last("c", "n1", List.of(stable(0, "s1.1"), provisional(1, "s0.1")));
    audit.schemaInEffect("cues", 2, 100);
    audit.runRequested("m1", "n0", "cues", 50);
    audit.preparedRan("m1", "e1", 1);
    audit.runRequested("m2", "n0", "cues", 150);
    audit.preparedRan("m2", "e1", 2);
    audit.reported("n0", 0, "find", 1, "SELECT 1");
    audit.reported("n0", 0, "find", 2, "SELECT 2");
  }

  /**
   * Returns the names of the rules that an observation violates after the valid history.
   *
   * @return names separated by "; ", empty if no rule is violated
   */
  private static String violatedRules(Consumer<Audit> injectedViolation) {
    Audit audit = new Audit();
    recordValidHistory(audit);
    injectedViolation.accept(audit);
    return String.join(
        "; ", audit.end().stream().map(violation -> violation.rule().name()).distinct().toList());
  }

  @Test
  void validHistoryHasNoViolations() {
    assertEquals("", violatedRules(audit -> {}));
  }

  @Test
  void eachInjectedViolationIsDetected() {
    List<String> detected = new ArrayList<>();
    detected.add(violatedRules(audit -> audit.answered("a2", 503)));
    detected.add(violatedRules(audit -> audit.submitted("b1", "UPDATE 9", true)));
    detected.add(violatedRules(audit -> audit.ran("e2", "UPDATE 1")));
    detected.add(violatedRules(audit -> audit.ran("e2", "UPDATE 3")));
    detected.add(
        violatedRules(
            audit -> {
              audit.submitted("b2", "SELECT 9", false);
              audit.answered("b2", 200);
            }));
    detected.add(violatedRules(audit -> audit.appended("c", "n1", 0, null, "s1.2")));
    detected.add(
        violatedRules(
            audit ->
                audit.last(
                    "c",
                    "n1",
                    List.of(stable(0, "s1.1"), stable(1, "s0.1"), provisional(2, "s0.1")))));
    detected.add(
        violatedRules(
            audit ->
                audit.read(
                    "c", "n1", List.of(new ChannelLogEntry(1, "s0.1", false, "another text")))));
    detected.add(violatedRules(audit -> audit.read("c", "n1", List.of(stable(0, "s0.1")))));
    detected.add(
        violatedRules(
            audit ->
                audit.last(
                    "c",
                    "n1",
                    List.of(stable(0, "s1.1"), stable(1, "s0.1"), provisional(2, "s0.7")))));
    detected.add(violatedRules(audit -> audit.appended("c", "n0", 0, "k1", "s1.1")));
    detected.add(
        violatedRules(
            audit -> {
              audit.appended("c", "n0", 0, null, "s1.1");
            }));
    detected.add(
        violatedRules(
            audit -> {
              audit.runRequested("m3", "n1", "cues", 150);
              audit.preparedRan("m3", "e1", 1);
            }));
    detected.add(violatedRules(audit -> audit.reported("n0", 0, "find", 1, "SELECT 1")));
    detected.add(violatedRules(audit -> audit.reported("n1", 0, "find", 2, "SELECT 1")));
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
        detected);
  }

  /**
   * Tests that the audit does not report outcomes that no gateway can know: the missing answer to a
   * request whose connection broke, and appends whose only copy was on a lost disk.
   */
  @Test
  void unknowableOutcomesAreExcused() {
    assertEquals(
        "",
        violatedRules(
            audit -> {
              audit.submitted("b3", "UPDATE 7", true);
              audit.ran("e1", "UPDATE 7");
              audit.excused("b3");
              audit.appended("c", "n0", 1, "k1", "s0.1");
              audit.appended("c", "n0", 1, null, "s0.2");
              audit.diskLost("n0");
            }));
  }
}
