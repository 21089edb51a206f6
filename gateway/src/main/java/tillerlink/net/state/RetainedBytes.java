package tillerlink.net.state;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The number of bytes of memory retained for clients: received input, accepted requests with the
 * results that they may still get, answers, and output that was not written yet. A request is
 * accepted only if {@link #tryReserve} has reserved all the memory that it may need until it is
 * forgotten. Input that is not a complete request yet may take a part of the limit alone, so that
 * clients which send half requests leave room for the requests of others. Thread-safe.
 */
public final class RetainedBytes {
  /** Input may take the limit divided by this number. */
  private static final int INPUT_DIVISOR = 2;

  private final long limit;
  private final long inputLimit;
  private final AtomicLong bytes = new AtomicLong();
  private final AtomicLong inputBytes = new AtomicLong();

  /**
   * Creates a counter that starts at 0.
   *
   * @param limit the greatest number of bytes up to which memory can be reserved
   */
  public RetainedBytes(long limit) {
    this.limit = limit;
    inputLimit = limit / INPUT_DIVISOR;
  }

  /**
   * Adds to the number of retained bytes, also beyond the limit.
   *
   * @param delta negative if bytes are no longer retained
   */
  void add(long delta) {
    bytes.addAndGet(delta);
  }

  /**
   * Reserves memory if that does not exceed the limit.
   *
   * @return whether the memory was reserved
   */
  boolean tryReserve(long count) {
    return tryAdd(bytes, count, limit);
  }

  /**
   * Adds to the number of retained bytes of input, also beyond the limit.
   *
   * @param delta negative if bytes are no longer retained
   */
  public void addInput(long delta) {
    inputBytes.addAndGet(delta);
    bytes.addAndGet(delta);
  }

  /**
   * Reserves memory for input if that exceeds neither the limit nor the part of it for input.
   *
   * @return whether the memory was reserved
   */
  boolean tryReserveInput(long count) {
    if (!tryAdd(inputBytes, count, inputLimit)) {
      return false;
    }
    if (!tryAdd(bytes, count, limit)) {
      inputBytes.addAndGet(-count);
      return false;
    }
    return true;
  }

  private static boolean tryAdd(AtomicLong counter, long count, long limit) {
    long before = counter.get();
    while (before + count <= limit) {
      if (counter.compareAndSet(before, before + count)) {
        return true;
      }
      before = counter.get();
    }
    return false;
  }

  /** Returns whether there is no room for further input. */
  public boolean isInputFull() {
    return inputBytes.get() >= inputLimit || bytes.get() >= limit;
  }

  /** Returns whether memory of that size could be reserved now. */
  boolean hasRoomFor(long count) {
    return bytes.get() + count <= limit;
  }

  /** Returns the number of retained bytes. */
  long bytes() {
    return bytes.get();
  }
}
