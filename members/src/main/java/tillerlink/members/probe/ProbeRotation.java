package tillerlink.members.probe;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Whom to ask next: each once a round, in an order that is drawn anew for each round. */
public final class ProbeRotation {
  private final RandomGenerator random;
  private List<String> round = new ArrayList<>();
  private int next;

  public ProbeRotation(RandomGenerator random) {
    this.random = random;
  }

  /** Null if there is nobody. */
  public String next(Supplier<List<String>> all) {
    if (next >= round.size()) {
      round = new ArrayList<>(all.get());
      shuffle();
      next = 0;
    }
    return next < round.size() ? round.get(next++) : null;
  }

  /** Somebody new takes part: at a place of the round still to come, by chance. */
  public void add(String name) {
    round.add(name);
    if (next < round.size()) {
      Collections.swap(round, next + random.nextInt(round.size() - next), round.size() - 1);
    }
  }

  private void shuffle() {
    for (int i = round.size() - 1; i > 0; i--) {
      Collections.swap(round, i, random.nextInt(i + 1));
    }
  }
}
