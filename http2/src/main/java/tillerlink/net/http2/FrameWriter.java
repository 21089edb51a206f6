package tillerlink.net.http2;

import java.io.ByteArrayOutputStream;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http2.hpack.HPackEncoder;
import org.apache.hc.core5.util.ByteArrayBuffer;

/** Encodes frames into a buffer, without I/O; the bytes are handed out once. */
public final class FrameWriter {
  private static final int MAX_TABLE_SIZE = 4096;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(512);
  private final HPackEncoder encoder = new HPackEncoder(MAX_TABLE_SIZE, StandardCharsets.US_ASCII);
  private final ByteArrayBuffer block = new ByteArrayBuffer(512);

  /** Whether there is nothing to hand out. */
  public boolean isEmpty() {
    return out.size() == 0;
  }

  /** Hands out the bytes encoded since the last call. */
  public byte[] take() {
    byte[] bytes = out.toByteArray();
    out.reset();
    return bytes;
  }

  /** Adds bytes as they are. */
  public void raw(byte[] bytes) {
    out.writeBytes(bytes);
  }

  /** Adds a frame whose payload is a part of an array. */
  public void frame(int type, int flags, int stream, byte[] payload, int from, int length) {
    out.write(length >> 16);
    out.write(length >> 8);
    out.write(length);
    out.write(type);
    out.write(flags);
    out.write(stream >> 24);
    out.write(stream >> 16);
    out.write(stream >> 8);
    out.write(stream);
    out.write(payload, from, length);
  }

  /** Adds a frame whose payload consists of numbers of four bytes. */
  public void frame(int type, int flags, int stream, int... numbers) {
    byte[] payload = new byte[4 * numbers.length];
    for (int i = 0; i < numbers.length; i++) {
      putNumber(payload, 4 * i, numbers[i]);
    }
    frame(type, flags, stream, payload, 0, payload.length);
  }

  /**
   * Adds a SETTINGS frame.
   *
   * @param pairs settings and their values, in turn
   */
  public void settings(int... pairs) {
    byte[] payload = new byte[3 * pairs.length];
    for (int i = 0; i < pairs.length; i += 2) {
      int offset = 3 * i;
      payload[offset] = (byte) (pairs[i] >> 8);
      payload[offset + 1] = (byte) pairs[i];
      putNumber(payload, offset + 2, pairs[i + 1]);
    }
    frame(Frame.SETTINGS, 0, 0, payload, 0, payload.length);
  }

  private static void putNumber(byte[] payload, int offset, int number) {
    payload[offset] = (byte) (number >> 24);
    payload[offset + 1] = (byte) (number >> 16);
    payload[offset + 2] = (byte) (number >> 8);
    payload[offset + 3] = (byte) number;
  }

  /**
   * Adds a header list, as a HEADERS frame and as many CONTINUATION frames as it takes.
   *
   * @param last whether it ends the stream
   * @param maxFrameSize the largest payload of one frame
   * @throws IllegalArgumentException if a header has characters outside ASCII
   */
  public void headers(int stream, List<? extends Header> headers, boolean last, int maxFrameSize) {
    block.clear();
    try {
      encoder.encodeHeaders(block, headers, false);
    } catch (CharacterCodingException e) {
      throw new IllegalArgumentException("a header that is not plain text", e);
    }
    int from = 0;
    int type = Frame.HEADERS;
    do {
      int length = Math.min(maxFrameSize, block.length() - from);
      boolean whole = from + length == block.length();
      int flags =
          (type == Frame.HEADERS && last ? Frame.END_STREAM : 0) | (whole ? Frame.END_HEADERS : 0);
      frame(type, flags, stream, block.array(), from, length);
      from += length;
      type = Frame.CONTINUATION;
    } while (from < block.length());
  }

  /** Takes the size of the peer's compression table, which is used up to the default of 4096. */
  public void setMaxTableSize(int bytes) {
    encoder.setMaxTableSize(Math.min(MAX_TABLE_SIZE, bytes));
  }

  /** Adds a GOAWAY with the last stream that is acted on. */
  public void goAway(int last, ErrorCode code) {
    frame(Frame.GOAWAY, 0, 0, last, code.code());
  }

  /** Adds a RST_STREAM. */
  public void reset(int stream, ErrorCode code) {
    frame(Frame.RST_STREAM, 0, stream, code.code());
  }
}
