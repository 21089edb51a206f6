package tillerlink.harness;

import org.apache.mina.core.buffer.IoBuffer;

/** Conversion of MINA buffers to byte arrays. */
final class Buffers {
  private Buffers() {}

  /**
   * Returns the unread bytes of a received MINA message and marks them as read.
   *
   * @param message the {@link IoBuffer} that MINA passed to the handler
   */
  static byte[] bytes(Object message) {
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }
}
