package tillerlink.net.io;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;

/**
 * Bytes of which the first must go out before a moment, or none at all: the thread that writes
 * looks at the clock right before it hands them to the system, for a full socket or a pause of the
 * process may lie before that.
 */
final class DeadlineWrite extends IoBufferWrapper {
  private final long before;
  private volatile long firstByteAt;
  private volatile boolean expired;

  DeadlineWrite(byte[] bytes, long before) {
    super(IoBuffer.wrap(bytes));
    this.before = before;
  }

  /**
   * MINA writes a duplicate of what it is given; of this one nothing is read again, and the state
   * has to be shared.
   */
  @Override
  public IoBuffer duplicate() {
    return this;
  }

  /** Whether its first byte has gone out. */
  boolean started() {
    return firstByteAt != 0;
  }

  boolean isInTime(long now) {
    return now < before;
  }

  void onStarted(long now) {
    firstByteAt = now;
  }

  /** None of it goes out; for MINA it is written. */
  void expire() {
    expired = true;
    position(limit());
  }

  boolean expired() {
    return expired;
  }

  long firstByteAt() {
    return firstByteAt;
  }
}
