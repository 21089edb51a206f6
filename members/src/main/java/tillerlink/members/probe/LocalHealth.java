package tillerlink.members.probe;

import tillerlink.cluster.Invariant;

/**
 * Lifeguard's local health multiplier: how well this process itself does, judged by probes that
 * time out while others get answers, by refutations it had to make and by pauses. The worse it
 * does, the longer it waits before it accuses others.
 */
public final class LocalHealth {
  /** At this score timeouts are twice as long. */
  private static final int SCORE_OF_DOUBLE_TIMEOUT = 4;

  /** Each time the score rises by that much, a probe has one round more. */
  private static final int SCORE_OF_EXTRA_ROUND = 2;

  private final int maxScore;
  private int score;

  /**
   * A healthy process.
   *
   * @param maxScore the worst score; 0 switches local health off
   */
  public LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  /** The score; 0 is healthy. */
  public int score() {
    return score;
  }

  /** Worsens the score by a number of points, up to the maximum. */
  public void degrade(int points) {
    score = Math.min(maxScore, score + points);
    Invariant.holds(
        score >= 0 && score <= maxScore,
        () -> "local health score " + score + " is outside 0 to " + maxScore);
  }

  /** Improves the score by one point. */
  public void improve() {
    score = Math.max(0, score - 1);
  }

  /** A timeout, lengthened according to the score. */
  public long scaleTimeout(long timeout) {
    return timeout * (score + SCORE_OF_DOUBLE_TIMEOUT) / SCORE_OF_DOUBLE_TIMEOUT;
  }

  /** How many more rounds a probe has before a member is suspected. */
  public int extraRounds() {
    return score / SCORE_OF_EXTRA_ROUND;
  }
}
