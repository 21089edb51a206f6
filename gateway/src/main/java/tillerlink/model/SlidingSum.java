package tillerlink.model;

/**
 * A sum over a sliding period, kept in slices: the bounds are off by the oldest slice at most.
 * Times are tenths of a millisecond.
 */
public final class SlidingSum {
  private final long slice;
  private final double[] amounts;
  private final long[] numbers;

  /**
   * Creates an empty sum.
   *
   * @param period length of the period
   * @param slices number of slices that it is divided into
   */
  public SlidingSum(long period, int slices) {
    slice = Math.max(1, (period + slices - 1) / slices);
    amounts = new double[slices + 2];
    numbers = new long[slices + 2];
    java.util.Arrays.fill(numbers, Long.MIN_VALUE);
  }

  /** Adds an amount. */
  public void add(long now, double amount) {
    long number = now / slice;
    int at = (int) (number % amounts.length);
    if (numbers[at] != number) {
      numbers[at] = number;
      amounts[at] = 0;
    }
    amounts[at] += amount;
  }

  /** All that may lie within the period. */
  public double upperBound(long now) {
    return since(now / slice - (amounts.length - 2));
  }

  /** Only what surely lies within the period. */
  public double lowerBound(long now) {
    return since(now / slice - (amounts.length - 4));
  }

  private double since(long oldest) {
    double sum = 0;
    for (int i = 0; i < amounts.length; i++) {
      if (numbers[i] >= oldest) {
        sum += amounts[i];
      }
    }
    return sum;
  }
}
