package tillerlink.members.measure;

import java.util.Arrays;

/** A sample of times in tenths of a millisecond, with its percentiles. */
final class Percentiles {
  private long[] values = new long[64];
  private int size;

  void add(long value) {
    if (size == values.length) {
      values = Arrays.copyOf(values, 2 * size);
    }
    values[size++] = value;
  }

  int size() {
    return size;
  }

  /**
   * Returns a percentile in seconds, as text; a dash if the sample is empty.
   *
   * @param share the percentile as a fraction, from 0 to 1
   */
  String seconds(double share) {
    if (size == 0) {
      return "-";
    }
    Arrays.sort(values, 0, size);
    int index = (int) Math.min(size - 1, Math.max(0, Math.ceil(share * size) - 1));
    return String.format("%.1f s", values[index] / 10_000.0);
  }
}
