package tillerlink.model;

/**
 * An exponentially decaying mean with a prior: the weight of each value decays with its age, and
 * the mean stays close to the prior while few values were added. Times are tenths of a millisecond.
 */
public final class DecayingMean {
  private final DecayingSum values;
  private final DecayingSum weights;
  private final double prior;
  private final double priorWeight;

  /**
   * Creates a mean without values.
   *
   * @param timeConstant the age at which the weight of a value has decayed to 1/e, in tenths of a
   *     millisecond
   * @param prior the mean while there are no values
   * @param priorWeight the constant weight of the prior; a value usually has weight 1
   */
  public DecayingMean(double timeConstant, double prior, double priorWeight) {
    values = new DecayingSum(timeConstant);
    weights = new DecayingSum(timeConstant);
    this.prior = prior;
    this.priorWeight = priorWeight;
  }

  /** Adds a value with a weight at the time {@code now}. */
  public void add(long now, double value, double weight) {
    values.add(now, value * weight);
    weights.add(now, weight);
  }

  /** Returns the mean at the time {@code now}, prior included. */
  public double valueAt(long now) {
    return (values.valueAt(now) + prior * priorWeight) / (weights.valueAt(now) + priorWeight);
  }

  /** Returns the total weight of the values at the time {@code now}, without the prior. */
  public double weight(long now) {
    return weights.valueAt(now);
  }

  /** Removes all values; the prior remains. */
  public void clear() {
    values.clear();
    weights.clear();
  }
}
