package tillerlink.members.probe;

import tillerlink.cluster.Invariant;

/**
 * How well this process itself does, as far as it can tell: answers that stay out though others get
 * them, refutations it had to make, pauses. The worse, the longer it waits before it accuses
 * anybody.
 */
public final class LocalHealth {
  /** At that score waits are twice as long. */
  private static final int STRETCH = 4;

  private final int most;
  private int score;

  /**
   * @param most 0: always well
   */
  public LocalHealth(int most) {
    this.most = most;
  }

  /** 0 is well. */
  public int score() {
    return score;
  }

  public void worse(int by) {
    score = Math.min(most, score + by);
    Invariant.holds(score >= 0 && score <= most, () -> "local health " + score);
  }

  public void better() {
    score = Math.max(0, score - 1);
  }

  public long stretched(long wait) {
    return wait * (score + STRETCH) / STRETCH;
  }

  /** That many rounds of questions more before anybody is accused. */
  public int moreRounds() {
    return score / 2;
  }
}
