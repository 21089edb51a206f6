package tillerlink.harness;

import org.apache.mina.core.buffer.IoBuffer;

/** Conversion of the buffers of MINA. */
final class Buffers {
  private Buffers() {}

  static byte[] bytes(Object message) {
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }
}
