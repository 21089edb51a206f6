package tillerlink.harness;

import org.apache.mina.core.buffer.IoBuffer;

/** What MINA hands over, as bytes. */
final class Buffers {
  private Buffers() {}

  static byte[] taken(Object message) {
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }
}
