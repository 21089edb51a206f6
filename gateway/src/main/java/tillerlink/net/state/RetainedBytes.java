package tillerlink.net.state;

/**
 * The number of bytes of memory retained for clients: received input, accepted requests with the
 * results that they may still get, answers, and output that was not written yet. A request is
 * accepted only if {@link #tryReserve} has reserved all the memory that it may need until it is
 * forgotten. Confined to the event-loop thread.
 */
final class RetainedBytes {
  private final long limit;
  private long bytes;

  /**
   * Creates a counter that starts at 0.
   *
   * @param limit the greatest number of bytes up to which memory can be reserved
   */
  RetainedBytes(long limit) {
    this.limit = limit;
  }

  /**
   * Adds to the number of retained bytes, also beyond the limit.
   *
   * @param delta negative if bytes are no longer retained
   */
  void add(long delta) {
    bytes += delta;
  }

  /**
   * Reserves memory if that does not exceed the limit.
   *
   * @return whether the memory was reserved
   */
  boolean tryReserve(long count) {
    if (bytes + count > limit) {
      return false;
    }
    bytes += count;
    return true;
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
