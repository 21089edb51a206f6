package tillerlink.net.state;

/**
 * Counts the bytes that are retained for clients: what they sent, what engines answered, and what
 * is not yet written. Beyond a share of the heap no request is accepted. Owned by the event-loop
 * thread.
 */
final class RetainedBytes {
  private final long limit;
  private long bytes;

  RetainedBytes(long limit) {
    this.limit = limit;
  }

  /**
   * @param more negative if fewer are retained
   */
  void add(long more) {
    bytes += more;
  }

  boolean isFull() {
    return bytes > limit;
  }

  long bytes() {
    return bytes;
  }
}
