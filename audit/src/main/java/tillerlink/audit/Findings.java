package tillerlink.audit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts the violations of each rule and keeps the first few of each. */
final class Findings {
  private static final int MAX_KEPT_OF_EACH_RULE = 20;

  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);
  private final List<Violation> violations = new ArrayList<>();

  void report(Rule rule, long at, String what) {
    if (counts.merge(rule, 1L, Long::sum) <= MAX_KEPT_OF_EACH_RULE) {
      violations.add(new Violation(rule, at, what));
    }
  }

  Map<Rule, Long> counts() {
    return counts;
  }

  List<Violation> violations() {
    return violations;
  }
}
