package tillerlink.model;

/**
 * An exponentially decaying sum. The decay is computed when the sum is read. Times are tenths of a
 * millisecond.
 */
public final class DecayingSum {
  private final double timeConstant;
  private double sum;
  private long updatedAt;

  /**
   * Creates an empty sum.
   *
   * @param timeConstant the age at which an amount has decayed to 1/e, in tenths of a millisecond
   */
  public DecayingSum(double timeConstant) {
    this.timeConstant = timeConstant;
  }

  /** Adds an amount, which may be negative, at the time {@code now}. */
  public void add(long now, double amount) {
    sum = valueAt(now) + amount;
    updatedAt = now;
  }

  /** Returns the sum at the time {@code now}. */
  public double valueAt(long now) {
    return sum == 0 ? 0 : sum * Math.exp((updatedAt - now) / timeConstant);
  }

  /** Sets the sum to zero. */
  public void clear() {
    sum = 0;
  }
}
