package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * SWIM's round-robin selection of probe targets. Every active member is selected once in each
 * round, in an order that is shuffled for each round.
 */
public final class ProbeRotation {
  private final RandomGenerator random;
  private List<String> round = new ArrayList<>();
  private int nextIndex;

  /** Creates a rotation whose first round begins with the first call of {@link #next}. */
  public ProbeRotation(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the next member to be probed.
   *
   * @param activeNames supplies the names of the active members when a round begins
   * @return the name of a member that may have failed or left since the round began; null if no
   *     other member is active
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
