package tillerlink.faultinjection.audit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What did not hold so far: all counted, the first few of each rule kept in words. */
final class Violations {
  private static final int WORDS_MOST = 8;
  private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
  private final List<Violation> words = new ArrayList<>();

  void add(Rule rule, String what) {
    if (counts.merge(rule, 1, Integer::sum) <= WORDS_MOST) {
      words.add(new Violation(rule, what));
    }
  }

  List<Violation> all() {
    return List.copyOf(words);
  }

  int count() {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
