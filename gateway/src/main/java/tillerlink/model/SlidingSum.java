package tillerlink.model;

/**
 * A sum over a sliding period, stored in slices of time. The bounds differ from the exact sum by at
 * most the amount of the oldest slice. Times are tenths of a millisecond.
 */
public final class SlidingSum {
  private final long sliceLength;
  private final double[] amounts;
  private final long[] sliceNumbers;

  /**
   * Creates an empty sum.
   *
   * @param period the length of the period, in tenths of a millisecond
   * @param slices the number of slices that the period is divided into
   */
  public SlidingSum(long period, int slices) {
    sliceLength = Math.max(1, (period + slices - 1) / slices);
    amounts = new double[slices + 2];
    sliceNumbers = new long[slices + 2];
    java.util.Arrays.fill(sliceNumbers, Long.MIN_VALUE);
  }

  /** Adds an amount at the time {@code now}. */
  public void add(long now, double amount) {
    long sliceNumber = now / sliceLength;
    int index = (int) (sliceNumber % amounts.length);
    if (sliceNumbers[index] != sliceNumber) {
      sliceNumbers[index] = sliceNumber;
      amounts[index] = 0;
    }
    amounts[index] += amount;
  }

  /** Returns the sum of all slices that may overlap the period that ends at {@code now}. */
  public double upperBound(long now) {
    return sumSince(now / sliceLength - (amounts.length - 2));
  }

  /** Returns the sum of the slices that lie entirely within the period that ends at {@code now}. */
  public double lowerBound(long now) {
    return sumSince(now / sliceLength - (amounts.length - 4));
  }

  private double sumSince(long oldestSlice) {
    double sum = 0;
    for (int i = 0; i < amounts.length; i++) {
      if (sliceNumbers[i] >= oldestSlice) {
        sum += amounts[i];
      }
    }
    return sum;
  }
}
