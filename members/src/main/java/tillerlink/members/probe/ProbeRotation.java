package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * SWIM's round-robin order of probes: every active member once a round, in an order that is
 * shuffled for each round.
 */
public final class ProbeRotation {
  private final RandomGenerator random;
  private List<String> round = new ArrayList<>();
  private int nextIndex;

  /** A rotation whose first round begins with the first call of {@link #next}. */
  public ProbeRotation(RandomGenerator random) {
    this.random = random;
  }

  /**
   * The next member to be probed.
   *
   * @param activeNames called when a round begins
   * @return its name, which may have left meanwhile; null if there is no member
   */
  public String next(Supplier<List<String>> activeNames) {
    if (nextIndex >= round.size()) {
      round = new ArrayList<>(activeNames.get());
      shuffle();
      nextIndex = 0;
    }
    return nextIndex < round.size() ? round.get(nextIndex++) : null;
  }

  /** Inserts a new member at a random position among those still to be probed in this round. */
  public void add(String name) {
    round.add(name);
    if (nextIndex < round.size()) {
      int position = nextIndex + random.nextInt(round.size() - nextIndex);
      Collections.swap(round, position, round.size() - 1);
    }
  }

  private void shuffle() {
    for (int i = round.size() - 1; i > 0; i--) {
      Collections.swap(round, i, random.nextInt(i + 1));
    }
  }
}
