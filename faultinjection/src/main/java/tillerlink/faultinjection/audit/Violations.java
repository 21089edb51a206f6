package tillerlink.faultinjection.audit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts the violations so far, and keeps the first ones of each rule. */
final class Violations {
  private static final int MAX_PER_RULE = 8;
  private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
  private final List<Violation> kept = new ArrayList<>();

  void add(Rule rule, String description) {
    if (counts.merge(rule, 1, Integer::sum) <= MAX_PER_RULE) {
      kept.add(new Violation(rule, description));
    }
  }

  List<Violation> all() {
    return List.copyOf(kept);
  }

  int count() {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
