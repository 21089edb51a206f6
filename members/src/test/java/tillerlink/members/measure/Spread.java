package tillerlink.members.measure;

import java.util.Arrays;

/** Numbers, and what of them is told. */
final class Spread {
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

  /** Of tenths of a millisecond, as seconds; a dash if there is none. */
  String seconds(double share) {
    if (size == 0) {
      return "-";
    }
    Arrays.sort(values, 0, size);
    int at = (int) Math.min(size - 1, Math.max(0, Math.ceil(share * size) - 1));
    return String.format("%.1f s", values[at] / 10_000.0);
  }
}
