package tillerlink.net.http2;

import java.util.Arrays;

/**
 * Splits received bytes into frames, without I/O. It stores what it was fed and has not yet handed
 * out; a frame longer than {@link Frame#FRAME_AT_START} is an error as soon as its length is known.
 */
public final class FrameReader {
  private static final int HEADER_SIZE = 9;
  private static final int FIRST_CAPACITY = 1024;

  private final byte[] preface;
  private int prefaceSeen;
  private byte[] buffer = new byte[FIRST_CAPACITY];
  private int from;
  private int to;

  /**
   * A reader at the start of a connection.
   *
   * @param preface the bytes required before the first frame; empty for nothing
   */
  public FrameReader(byte[] preface) {
    this.preface = preface;
  }

  /** Takes received bytes, which may end anywhere in a frame. */
  public void feed(byte[] more) {
    if (to + more.length > buffer.length) {
      int size = to - from;
      byte[] roomy =
          size + more.length <= buffer.length
              ? buffer
              : new byte[Math.max(2 * size, size + more.length)];
      System.arraycopy(buffer, from, roomy, 0, size);
      buffer = roomy;
      from = 0;
      to = size;
    }
    System.arraycopy(more, 0, buffer, to, more.length);
    to += more.length;
  }

  /** Whether a frame was received in part. */
  public boolean midway() {
    return to > from;
  }

  /**
   * The next frame, or null while it is incomplete.
   *
   * @throws Http2ConnectionError if it is too long, or the preface is another
   */
  public Frame next() {
    skipPreface();
    if (to - from < HEADER_SIZE || prefaceSeen < preface.length) {
      return null;
    }
    int length =
        ((buffer[from] & 255) << 16) | ((buffer[from + 1] & 255) << 8) | (buffer[from + 2] & 255);
    if (length > Frame.FRAME_AT_START) {
      throw new Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "a frame of " + length + " bytes");
    }
    if (to - from < HEADER_SIZE + length) {
      return null;
    }
    int stream =
        ((buffer[from + 5] & 127) << 24)
            | ((buffer[from + 6] & 255) << 16)
            | ((buffer[from + 7] & 255) << 8)
            | (buffer[from + 8] & 255);
    Frame frame =
        new Frame(
            buffer[from + 3] & 255,
            buffer[from + 4] & 255,
            stream,
            Arrays.copyOfRange(buffer, from + HEADER_SIZE, from + HEADER_SIZE + length));
    from += HEADER_SIZE + length;
    if (from == to) {
      from = 0;
      to = 0;
    }
    return frame;
  }

  private void skipPreface() {
    while (prefaceSeen < preface.length && from < to) {
      if (buffer[from++] != preface[prefaceSeen++]) {
        throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "not the preface");
      }
    }
  }
}
