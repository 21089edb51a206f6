package tillerlink.messages.envelope;

/** A sliding window over the counters of one process's datagrams that detects duplicates. */
final class ReplayWindow {
  /**
   * The number of counters up to the newest that can be checked; at 1,000 datagrams a second, those
   * of about four seconds.
   */
  static final int SIZE = 4096;

  private final long[] received = new long[SIZE / Long.SIZE];
  private long newest;

  /**
   * Marks a counter as received.
   *
   * @return false if it was received before or is too old to be checked
   */
  boolean markReceived(long counter) {
    if (counter <= newest - SIZE) {
      return false;
    }
    if (counter > newest) {
      advance(counter - newest);
      newest = counter;
    }
    int position = (int) (counter % SIZE);
    long bit = 1L << position % Long.SIZE;
    boolean first = (received[position / Long.SIZE] & bit) == 0;
    received[position / Long.SIZE] |= bit;
    return first;
  }

  /** Clears the bits that the counters entering the window share with those leaving it. */
  private void advance(long steps) {
    for (long i = 1; i <= Math.min(steps, SIZE); i++) {
      int position = (int) ((newest + i) % SIZE);
      received[position / Long.SIZE] &= ~(1L << position % Long.SIZE);
    }
  }
}
