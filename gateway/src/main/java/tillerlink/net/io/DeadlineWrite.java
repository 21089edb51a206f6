package tillerlink.net.io;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;

/**
 * A buffer whose first byte must be written before a deadline; otherwise none of it is written. The
 * writing thread reads the clock immediately before it passes the bytes to the operating system,
 * because a full socket or a pause of the process may have delayed the write until then.
 */
final class DeadlineWrite extends IoBufferWrapper {
  private final long deadline;
  private volatile long firstByteAt;
  private volatile boolean expired;

  /**
   * Creates a buffer with a deadline.
   *
   * @param deadline the time before which the first byte must be written, in tenths of a
   *     millisecond
   */
  DeadlineWrite(byte[] bytes, long deadline) {
    super(IoBuffer.wrap(bytes));
    this.deadline = deadline;
  }

  /**
   * Returns this buffer instead of a copy. MINA writes a duplicate of each buffer, but the state of
   * this one must be shared, and its content is not read again after the write.
   */
  @Override
  public IoBuffer duplicate() {
    return this;
  }

  /** Returns whether the first byte has been written. */
  boolean started() {
    return firstByteAt != 0;
  }

  /** Returns whether the deadline has not passed yet. */
  boolean isInTime(long now) {
    return now < deadline;
  }

  /** Records that the first byte has been written. */
  void onStarted(long now) {
    firstByteAt = now;
  }

  /** Discards all bytes, none of which was written. MINA sees the buffer as written. */
  void expire() {
    expired = true;
    position(limit());
  }

  /** Returns whether the bytes were discarded because the deadline had passed. */
  boolean expired() {
    return expired;
  }

  /**
   * Returns when the first byte was written, in tenths of a millisecond; 0 if it was not written
   * yet.
   */
  long firstByteAt() {
    return firstByteAt;
  }
}
