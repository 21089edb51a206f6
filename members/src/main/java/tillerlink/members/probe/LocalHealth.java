package tillerlink.members.probe;

import tillerlink.cluster.Invariant;

/**
 * Lifeguard's local health multiplier, a score of this process's own health. It is derived from
 * probes that time out while other members get answers, from refutations that this process had to
 * send, and from its pauses. The worse the score, the longer this process waits before it suspects
 * other members.
 */
public final class LocalHealth {
  /** Score at which timeouts are twice as long as those of a healthy process. */
  private static final int SCORE_OF_DOUBLE_TIMEOUT = 4;

  /** Number of points of the score for which a probe has one additional round. */
  private static final int SCORE_OF_EXTRA_ROUND = 2;

  private final int maxScore;
  private int score;

  /**
   * Creates the score of a healthy process.
   *
   * @param maxScore the worst score; 0 disables local health
   */
  public LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  /** Returns the score; 0 is healthy. */
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

  /** Returns a timeout lengthened according to the score, in the unit of the argument. */
  public long scaleTimeout(long timeout) {
    return timeout * (score + SCORE_OF_DOUBLE_TIMEOUT) / SCORE_OF_DOUBLE_TIMEOUT;
  }

  /** Returns the number of additional rounds of a probe before a member is suspected. */
  public int extraRounds() {
    return score / SCORE_OF_EXTRA_ROUND;
  }
}
