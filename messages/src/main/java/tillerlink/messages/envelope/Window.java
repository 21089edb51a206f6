package tillerlink.messages.envelope;

/** Which of the latest datagrams of one process have come. */
final class Window {
  /**
   * So far behind the newest, it can be told whether one came; at 1,000 datagrams a second, four
   * seconds.
   */
  static final int SPAN = 4096;

  private final long[] came = new long[SPAN / Long.SIZE];
  private long newest;

  /** Whether it comes for the first time; false also if it is too old to tell. */
  boolean isNew(long counter) {
    if (counter <= newest - SPAN) {
      return false;
    }
    if (counter > newest) {
      forget(counter - newest);
      newest = counter;
    }
    int place = (int) (counter % SPAN);
    long bit = 1L << place % Long.SIZE;
    boolean first = (came[place / Long.SIZE] & bit) == 0;
    came[place / Long.SIZE] |= bit;
    return first;
  }

  /** The places of those that are coming into the span were those of others that leave it. */
  private void forget(long steps) {
    for (long i = 1; i <= Math.min(steps, SPAN); i++) {
      int place = (int) ((newest + i) % SPAN);
      came[place / Long.SIZE] &= ~(1L << place % Long.SIZE);
    }
  }
}
