package tillerlink.jmh;

import com.fasterxml.jackson.core.JsonFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Shared parts of the benchmarks that encode a message in three formats: numbered fields, fields at
 * fixed places, and JSON.
 */
final class Encodings {
  /** The size of encoding buffers in bytes, which is enough for the payload of a datagram. */
  static final int BUFFER_SIZE = 1400;

  static final JsonFactory JSON = new JsonFactory();

  private Encodings() {}

  /**
   * Prints the encoded size of each format.
   *
   * @param readBack whether every format decoded to the original message
   * @throws IllegalStateException if {@code readBack} is false
   */
  static void check(boolean readBack, byte[] fields, byte[] places, byte[] json) {
    if (!readBack) {
      throw new IllegalStateException("an encoding did not decode to the original message");
    }
    System.out.println(
        "bytes: fields " + fields.length + ", places " + places.length + ", json " + json.length);
  }

  static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads the next bytes of a buffer as UTF-8 text.
   *
   * @param length in bytes
   */
  static String text(ByteBuffer in, int length) {
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Returns a copy of the bytes that were written to a buffer. */
  static byte[] written(ByteBuffer out) {
    byte[] bytes = new byte[out.position()];
    out.flip().get(bytes);
    return bytes;
  }
}
