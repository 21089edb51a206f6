package tillerlink.net.state;

/**
 * The number of bytes retained for clients: requests, results from engines, and answers that have
 * not been written yet. While it exceeds its limit, a share of the heap, no request is accepted.
 * Confined to the event-loop thread.
 */
final class RetainedBytes {
  private final long limit;
  private long bytes;

  /**
   * Creates a counter that starts at 0.
   *
   * @param limit the number of bytes above which no request is accepted
   */
  RetainedBytes(long limit) {
    this.limit = limit;
  }

  /**
   * Adds to the number of retained bytes.
   *
   * @param delta negative if bytes are no longer retained
   */
  void add(long delta) {
    bytes += delta;
  }

  /** Returns whether the limit is exceeded. */
  boolean isFull() {
    return bytes > limit;
  }

  /** Returns the number of retained bytes. */
  long bytes() {
    return bytes;
  }
}
