package tillerlink.replay;

/**
 * Counts over the time of a run in a bounded number of equal bins: when the run outgrows them, each
 * two become one. Times are tenths of a millisecond from the start.
 */
public final class Series {
  private static final int BINS = 600;

  private final long[][] counts;
  private long span;
  private int used;

  public Series(int kinds, long span) {
    counts = new long[kinds][BINS];
    this.span = span;
  }

  public void add(long at, int kind, long count) {
    while (at / span >= BINS) {
      fold();
    }
    int bin = (int) (at / span);
    used = Math.max(used, bin + 1);
    counts[kind][bin] += count;
  }

  private void fold() {
    for (long[] kind : counts) {
      for (int i = 0; i < BINS; i++) {
        kind[i] = 2 * i < BINS ? kind[2 * i] + kind[2 * i + 1] : 0;
      }
    }
    span *= 2;
    used = (used + 1) / 2;
  }

  public int bins() {
    return used;
  }

  public long span() {
    return span;
  }

  public long count(int kind, int bin) {
    return counts[kind][bin];
  }
}
