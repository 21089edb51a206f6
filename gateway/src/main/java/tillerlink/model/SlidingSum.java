package tillerlink.model;

/**
 * A sum over a sliding span, kept in slices: never off by more than the oldest slice, on the side
 * asked for.
 */
public final class SlidingSum {
  private final long slice;
  private final double[] amounts;
  private final long[] numbers;

  public SlidingSum(long span, int slices) {
    slice = Math.max(1, (span + slices - 1) / slices);
    amounts = new double[slices + 2];
    numbers = new long[slices + 2];
    java.util.Arrays.fill(numbers, Long.MIN_VALUE);
  }

  public void add(long now, double amount) {
    long number = now / slice;
    int at = (int) (number % amounts.length);
    if (numbers[at] != number) {
      numbers[at] = number;
      amounts[at] = 0;
    }
    amounts[at] += amount;
  }

  /** All that may lie within the span. */
  public double upperBound(long now) {
    return since(now / slice - (amounts.length - 2));
  }

  /** Only what surely lies within the span. */
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
