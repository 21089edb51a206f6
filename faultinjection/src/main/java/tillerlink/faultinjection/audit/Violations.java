package tillerlink.faultinjection.audit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts the violations of each rule, and stores the first {@value #MAX_PER_RULE} of each. */
final class Violations {
  private static final int MAX_PER_RULE = 8;
  private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
  private final List<Violation> stored = new ArrayList<>();

  void add(Rule rule, String description) {
    if (counts.merge(rule, 1, Integer::sum) <= MAX_PER_RULE) {
      stored.add(new Violation(rule, description));
    }
  }

  List<Violation> all() {
    return List.copyOf(stored);
  }

  int count() {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
