package tillerlink.model;

/** A sum whose parts fade with age; brought up to date when read. */
public final class DecayingSum {
  private final double fadeTime;
  private double sum;
  private long asOf;

  /**
   * Creates an empty sum.
   *
   * @param fadeTime the age at which a part has faded to 1/e
   */
  public DecayingSum(double fadeTime) {
    this.fadeTime = fadeTime;
  }

  /** Adds an amount, which may be negative. */
  public void add(long now, double amount) {
    sum = at(now) + amount;
    asOf = now;
  }

  /** The sum as of now. */
  public double at(long now) {
    return sum == 0 ? 0 : sum * Math.exp((asOf - now) / fadeTime);
  }

  /** Sets the sum to zero. */
  public void clear() {
    sum = 0;
  }
}
