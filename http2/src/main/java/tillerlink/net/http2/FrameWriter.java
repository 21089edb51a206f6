package tillerlink.net.http2;

import java.io.ByteArrayOutputStream;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http2.hpack.HPackEncoder;
import org.apache.hc.core5.util.ByteArrayBuffer;

/** Encodes frames into a buffer, without I/O. */
public final class FrameWriter {
  private static final int MAX_TABLE_SIZE = 4096;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(512);
  private final HPackEncoder encoder = new HPackEncoder(MAX_TABLE_SIZE, StandardCharsets.US_ASCII);
  private final ByteArrayBuffer block = new ByteArrayBuffer(512);

  /** Returns true if no encoded bytes are buffered. */
  public boolean isEmpty() {
    return out.size() == 0;
  }

  /** Returns the bytes encoded since the last call and clears the buffer. */
  public byte[] take() {
    byte[] bytes = out.toByteArray();
    out.reset();
    return bytes;
  }

  /** Appends bytes unchanged. */
  public void raw(byte[] bytes) {
    out.writeBytes(bytes);
  }

  /**
   * Appends a frame whose payload is a part of an array.
   *
   * @param stream the stream id, 0 for the connection
   * @param from offset of the payload in the array
   * @param length size of the payload in bytes
   */
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

  /** Appends a frame whose payload consists of numbers of four bytes each. */
  public void frame(int type, int flags, int stream, int... numbers) {
    byte[] payload = new byte[4 * numbers.length];
    for (int i = 0; i < numbers.length; i++) {
      putNumber(payload, 4 * i, numbers[i]);
    }
    frame(type, flags, stream, payload, 0, payload.length);
  }

  /**
   * Appends a SETTINGS frame.
   *
   * @param pairs identifiers of settings, each followed by its value
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
   * Appends a header list as a HEADERS frame and as many CONTINUATION frames as needed.
   *
   * @param last whether the header list ends the stream
   * @param maxFrameSize the largest payload of one frame in bytes
   * @throws IllegalArgumentException if a header has characters outside ASCII
   */
  public void headers(int stream, List<? extends Header> headers, boolean last, int maxFrameSize) {
    block.clear();
    try {
      encoder.encodeHeaders(block, headers, false);
    } catch (CharacterCodingException e) {
      throw new IllegalArgumentException("header contains non-ASCII characters", e);
    }
    int from = 0;
    int type = Frame.HEADERS;
    do {
      int length = Math.min(maxFrameSize, block.length() - from);
      boolean endHeaders = from + length == block.length();
      int flags =
          (type == Frame.HEADERS && last ? Frame.END_STREAM : 0)
              | (endHeaders ? Frame.END_HEADERS : 0);
      frame(type, flags, stream, block.array(), from, length);
      from += length;
      type = Frame.CONTINUATION;
    } while (from < block.length());
  }

  /**
   * Applies the size of the peer's header compression table, of which at most the protocol's
   * default of 4096 bytes is used.
   */
  public void setMaxTableSize(int bytes) {
    encoder.setMaxTableSize(Math.min(MAX_TABLE_SIZE, bytes));
  }

  /**
   * Appends a GOAWAY frame.
   *
   * @param last the highest id of a stream that is processed
   */
  public void goAway(int last, ErrorCode code) {
    frame(Frame.GOAWAY, 0, 0, last, code.code());
  }

  /** Appends a RST_STREAM frame. */
  public void reset(int stream, ErrorCode code) {
    frame(Frame.RST_STREAM, 0, stream, code.code());
  }
}
