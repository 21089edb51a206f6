package tillerlink.jmh;

import com.fasterxml.jackson.core.JsonFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What benchmarks that write a message in three forms share: numbered fields, places and JSON. */
final class Encodings {
  /** What buffers are made for: a datagram's worth. */
  static final int BUFFER_SIZE = 1400;

  static final JsonFactory JSON = new JsonFactory();

  private Encodings() {}

  /** Throws unless all forms read back as they were; prints how many bytes each takes. */
  static void check(boolean readBack, byte[] fields, byte[] places, byte[] json) {
    if (!readBack) {
      throw new IllegalStateException("one of them does not give back what was written");
    }
    System.out.println(
        "bytes: fields " + fields.length + ", places " + places.length + ", json " + json.length);
  }

  static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Takes the next bytes of a buffer as text. */
  static String text(ByteBuffer in, int length) {
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Copies what was put into a buffer. */
  static byte[] written(ByteBuffer out) {
    byte[] bytes = new byte[out.position()];
    out.flip().get(bytes);
    return bytes;
  }
}
