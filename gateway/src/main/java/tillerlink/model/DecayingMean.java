package tillerlink.model;

/** The mean of values that fade with age, drawn towards a prior while there are few. */
public final class DecayingMean {
  private final DecayingSum values;
  private final DecayingSum weights;
  private final double prior;
  private final double priorWeight;

  public DecayingMean(double span, double prior, double priorWeight) {
    values = new DecayingSum(span);
    weights = new DecayingSum(span);
    this.prior = prior;
    this.priorWeight = priorWeight;
  }

  public void add(long now, double value, double weight) {
    values.add(now, value * weight);
    weights.add(now, weight);
  }

  public double at(long now) {
    return (values.at(now) + prior * priorWeight) / (weights.at(now) + priorWeight);
  }

  public double weight(long now) {
    return weights.at(now);
  }

  public void clear() {
    values.clear();
    weights.clear();
  }
}
