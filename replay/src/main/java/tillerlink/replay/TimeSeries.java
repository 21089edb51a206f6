package tillerlink.replay;

/**
 * Counts over the time of a run, in a bounded number of bins of equal span. When the run exceeds
 * the bins, adjacent pairs are merged and the span doubles. Times are tenths of a millisecond from
 * the start.
 */
public final class TimeSeries {
  private static final int MAX_BINS = 600;

  private final long[][] counts;
  private long span;
  private int binsUsed;

  /**
   * Creates a series.
   *
   * @param kinds the number of kinds that are counted separately
   * @param span the initial span of a bin, in tenths of a millisecond
   */
  public TimeSeries(int kinds, long span) {
    counts = new long[kinds][MAX_BINS];
    this.span = span;
  }

  /** Adds to the count of a kind in the bin that contains a time. */
  public void add(long time, int kind, long count) {
    while (time / span >= MAX_BINS) {
      mergeBins();
    }
    int bin = (int) (time / span);
    binsUsed = Math.max(binsUsed, bin + 1);
    counts[kind][bin] += count;
  }

  private void mergeBins() {
    for (long[] kind : counts) {
      for (int i = 0; i < MAX_BINS; i++) {
        kind[i] = 2 * i < MAX_BINS ? kind[2 * i] + kind[2 * i + 1] : 0;
      }
    }
    span *= 2;
    binsUsed = (binsUsed + 1) / 2;
  }

  public int bins() {
    return binsUsed;
  }

  public long span() {
    return span;
  }

  public long count(int kind, int bin) {
    return counts[kind][bin];
  }
}
