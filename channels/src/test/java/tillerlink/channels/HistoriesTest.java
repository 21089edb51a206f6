package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs seeded histories with randomly drawn faults, each followed by the audit of {@link Fleet}.
 * The property {@code -Dhistories=N} sets the number of histories, 100 by default, and {@code
 * -Dfirst=N} the first seed.
 */
class HistoriesTest {
  @Test
  void stableEventsNeverChangeAndAllGatewaysConverge() {
    long first = Long.getLong("first", 1);
    int count = Integer.getInteger("histories", 100);
    List<String> failures = new ArrayList<>();
    for (long seed = first; seed < first + count && failures.size() < 5; seed++) {
      History history = new History(seed, 40);
      try {
        List<String> violations = history.run();
        if (!violations.isEmpty()) {
          failures.add(
              "seed " + seed + ": " + violations.subList(0, Math.min(3, violations.size())));
        }
      } catch (AssertionError | RuntimeException e) {
        failures.add(
            "seed "
                + seed
                + ": "
                + e
                + " at "
                + e.getStackTrace()[0]
                + e.getStackTrace()[1]
                + e.getStackTrace()[2]);
      }
    }
    assertEquals(List.of(), failures);
  }
}
