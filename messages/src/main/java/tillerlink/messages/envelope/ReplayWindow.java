package tillerlink.messages.envelope;

/** Which of the latest datagrams of one process have arrived; detects repeated ones. */
final class ReplayWindow {
  /**
   * Counters behind the newest that can be checked; at 1,000 datagrams a second, those of four
   * seconds.
   */
  static final int SPAN = 4096;

  private final long[] arrived = new long[SPAN / Long.SIZE];
  private long newest;

  /** Marks a counter as arrived; false if it was already, or is too old to be checked. */
  boolean isNew(long counter) {
    if (counter <= newest - SPAN) {
      return false;
    }
    if (counter > newest) {
      advance(counter - newest);
      newest = counter;
    }
    int place = (int) (counter % SPAN);
    long bit = 1L << place % Long.SIZE;
    boolean first = (arrived[place / Long.SIZE] & bit) == 0;
    arrived[place / Long.SIZE] |= bit;
    return first;
  }

  /** Clears the bits of the counters that enter the window; they were of those that leave it. */
  private void advance(long steps) {
    for (long i = 1; i <= Math.min(steps, SPAN); i++) {
      int place = (int) ((newest + i) % SPAN);
      arrived[place / Long.SIZE] &= ~(1L << place % Long.SIZE);
    }
  }
}
