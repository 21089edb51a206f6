package tillerlink.audit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The violations found so far: their number for each rule, and the first 20 of each rule. */
final class Findings {
  private static final int MAX_STORED_PER_RULE = 20;

  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);
  private final List<Violation> violations = new ArrayList<>();

  /**
   * Counts a violation and stores it if it is among the first of its rule.
   *
   * @param at tenths of a millisecond
   * @param description what happened, for people to read
   */
  void report(Rule rule, long at, String description) {
    if (counts.merge(rule, 1L, Long::sum) <= MAX_STORED_PER_RULE) {
      violations.add(new Violation(rule, at, description));
    }
  }

  Map<Rule, Long> counts() {
    return counts;
  }

  List<Violation> violations() {
    return violations;
  }
}
