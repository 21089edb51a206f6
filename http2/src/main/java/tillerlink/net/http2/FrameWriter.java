package tillerlink.net.http2;

import java.io.ByteArrayOutputStream;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http2.hpack.HPackEncoder;
import org.apache.hc.core5.util.ByteArrayBuffer;

/** Encodes frames, one behind the other; what was written is taken once. */
public final class FrameWriter {
  private static final int TABLE_MOST = 4096;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(512);
  private final HPackEncoder encoder = new HPackEncoder(TABLE_MOST, StandardCharsets.US_ASCII);
  private final ByteArrayBuffer block = new ByteArrayBuffer(512);

  public boolean isEmpty() {
    return out.size() == 0;
  }

  public byte[] take() {
    byte[] bytes = out.toByteArray();
    out.reset();
    return bytes;
  }

  public void raw(byte[] bytes) {
    out.writeBytes(bytes);
  }

  public void frame(int type, int flags, int stream, byte[] payload, int from, int length) {
    out.write(length >> 16);
    out.write(length >> 8);
    out.write(length);
    out.write(type);
    out.write(flags);
    four(stream);
    out.write(payload, from, length);
  }

  public void frame(int type, int flags, int stream, int... numbers) {
    byte[] payload = new byte[4 * numbers.length];
    for (int i = 0; i < numbers.length; i++) {
      for (int j = 0; j < 4; j++) {
        payload[4 * i + j] = (byte) (numbers[i] >> 24 - 8 * j);
      }
    }
    frame(type, flags, stream, payload, 0, payload.length);
  }

  private void four(int number) {
    out.write(number >> 24);
    out.write(number >> 16);
    out.write(number >> 8);
    out.write(number);
  }

  /**
   * @param pairs settings and their values, in turn
   */
  public void settings(int... pairs) {
    byte[] payload = new byte[3 * pairs.length];
    for (int i = 0; i < pairs.length; i += 2) {
      int at = 3 * i;
      payload[at] = (byte) (pairs[i] >> 8);
      payload[at + 1] = (byte) pairs[i];
      for (int j = 0; j < 4; j++) {
        payload[at + 2 + j] = (byte) (pairs[i + 1] >> 24 - 8 * j);
      }
    }
    frame(Frame.SETTINGS, 0, 0, payload, 0, payload.length);
  }

  /** A header list, in as many frames as it takes. */
  public void headers(int stream, List<? extends Header> headers, boolean last, int frameMost) {
    block.clear();
    try {
      encoder.encodeHeaders(block, headers, false);
    } catch (CharacterCodingException e) {
      throw new IllegalArgumentException("a header that is not plain text", e);
    }
    int from = 0;
    int type = Frame.HEADERS;
    do {
      int length = Math.min(frameMost, block.length() - from);
      boolean whole = from + length == block.length();
      int flags =
          (type == Frame.HEADERS && last ? Frame.END_STREAM : 0) | (whole ? Frame.END_HEADERS : 0);
      frame(type, flags, stream, block.array(), from, length);
      from += length;
      type = Frame.CONTINUATION;
    } while (from < block.length());
  }

  /**
   * The peer keeps a smaller table of headers, or a larger one; ours does not grow beyond the
   * usual.
   */
  public void tableMost(int bytes) {
    encoder.setMaxTableSize(Math.min(TABLE_MOST, bytes));
  }

  public void goAway(int last, ErrorCode code) {
    frame(Frame.GOAWAY, 0, 0, last, code.code());
  }

  public void reset(int stream, ErrorCode code) {
    frame(Frame.RST_STREAM, 0, stream, code.code());
  }
}
