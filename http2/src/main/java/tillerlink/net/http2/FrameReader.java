package tillerlink.net.http2;

import java.util.Arrays;

/**
 * Makes frames of bytes as they come; knows no socket. It keeps one frame at the most, and what
 * came with it.
 */
public final class FrameReader {
  private static final int HEAD = 9;

  private final byte[] preface;
  private int prefaceSeen;
  private byte[] kept = new byte[1024];
  private int from;
  private int to;

  /**
   * @param preface what must come before the first frame, or nothing
   */
  public FrameReader(byte[] preface) {
    this.preface = preface;
  }

  public void feed(byte[] more) {
    if (to + more.length > kept.length) {
      int size = to - from;
      byte[] roomy =
          size + more.length <= kept.length
              ? kept
              : new byte[Math.max(2 * size, size + more.length)];
      System.arraycopy(kept, from, roomy, 0, size);
      kept = roomy;
      from = 0;
      to = size;
    }
    System.arraycopy(more, 0, kept, to, more.length);
    to += more.length;
  }

  /** Whether a frame has begun to come and is not yet whole. */
  public boolean midway() {
    return to > from;
  }

  /**
   * The next frame, or null while it is not whole.
   *
   * @throws Http2ConnectionError if it is longer than was allowed, or the preface is another
   */
  public Frame next() {
    while (prefaceSeen < preface.length && from < to) {
      if (kept[from++] != preface[prefaceSeen++]) {
        throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "not the preface");
      }
    }
    if (to - from < HEAD || prefaceSeen < preface.length) {
      return null;
    }
    int length = (kept[from] & 255) << 16 | (kept[from + 1] & 255) << 8 | kept[from + 2] & 255;
    if (length > Frame.FRAME_AT_START) {
      throw new Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "a frame of " + length + " bytes");
    }
    if (to - from < HEAD + length) {
      return null;
    }
    int stream =
        (kept[from + 5] & 127) << 24
            | (kept[from + 6] & 255) << 16
            | (kept[from + 7] & 255) << 8
            | kept[from + 8] & 255;
    Frame frame =
        new Frame(
            kept[from + 3] & 255,
            kept[from + 4] & 255,
            stream,
            Arrays.copyOfRange(kept, from + HEAD, from + HEAD + length));
    from += HEAD + length;
    if (from == to) {
      from = 0;
      to = 0;
    }
    return frame;
  }
}
