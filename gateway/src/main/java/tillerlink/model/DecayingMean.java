package tillerlink.model;

/** The mean of values that fade with age, drawn towards a prior while there are few. */
public final class DecayingMean {
  private final DecayingSum values;
  private final DecayingSum weights;
  private final double prior;
  private final double priorWeight;

  /**
   * Creates a mean of no values.
   *
   * @param fadeTime the age at which the weight of a value has faded to 1/e
   * @param prior the mean of no values
   * @param priorWeight the weight of the prior, against 1 for a value
   */
  public DecayingMean(double fadeTime, double prior, double priorWeight) {
    values = new DecayingSum(fadeTime);
    weights = new DecayingSum(fadeTime);
    this.prior = prior;
    this.priorWeight = priorWeight;
  }

  /** Adds a value with a weight. */
  public void add(long now, double value, double weight) {
    values.add(now, value * weight);
    weights.add(now, weight);
  }

  /** The mean as of now. */
  public double at(long now) {
    return (values.at(now) + prior * priorWeight) / (weights.at(now) + priorWeight);
  }

  /** The weight of all values as of now, without the prior. */
  public double weight(long now) {
    return weights.at(now);
  }

  /** Forgets all values. */
  public void clear() {
    values.clear();
    weights.clear();
  }
}
