package tillerlink.net.http2;

/**
 * An HTTP/2 frame (RFC 9113, section 4.1), with the protocol's constants.
 *
 * @param type the frame type, which may be unknown
 * @param flags eight bits, whose meaning depends on the type
 * @param stream the stream id, 0 for the connection
 * @param payload the bytes after the frame header, including padding
 */
public record Frame(int type, int flags, int stream, byte[] payload) {
  public static final int DATA = 0;
  public static final int HEADERS = 1;
  public static final int PRIORITY = 2;
  public static final int RST_STREAM = 3;
  public static final int SETTINGS = 4;
  public static final int PUSH_PROMISE = 5;
  public static final int PING = 6;
  public static final int GOAWAY = 7;
  public static final int WINDOW_UPDATE = 8;
  public static final int CONTINUATION = 9;

  public static final int END_STREAM = 1;
  public static final int ACK = 1;
  public static final int END_HEADERS = 4;
  public static final int PADDED = 8;
  public static final int WITH_PRIORITY = 32;

  public static final int SETTINGS_HEADER_TABLE_SIZE = 1;
  public static final int SETTINGS_ENABLE_PUSH = 2;
  public static final int SETTINGS_MAX_CONCURRENT_STREAMS = 3;
  public static final int SETTINGS_INITIAL_WINDOW_SIZE = 4;
  public static final int SETTINGS_MAX_FRAME_SIZE = 5;
  public static final int SETTINGS_MAX_HEADER_LIST_SIZE = 6;

  /** The initial flow-control window, in bytes, of the connection and of each stream. */
  public static final int WINDOW_AT_START = 65_535;

  /** The largest payload, in bytes, that may be sent unless the receiver declares another limit. */
  public static final int FRAME_AT_START = 16_384;

  static final int PRIORITY_SIZE = 5;
  static final int PING_SIZE = 8;

  private static final int STREAM_MASK = 0x7fffffff;

  /** Returns true if a flag is set. */
  public boolean has(int flag) {
    return (flags & flag) != 0;
  }

  /** Returns four bytes of the payload, from an offset, as an unsigned number. */
  public long number(int offset) {
    return ((payload[offset] & 255L) << 24)
        | ((payload[offset + 1] & 255) << 16)
        | ((payload[offset + 2] & 255) << 8)
        | (payload[offset + 3] & 255);
  }

  /**
   * Returns four bytes of the payload, from an offset, as a stream id or window increment. The
   * first bit is reserved and ignored.
   */
  public int id(int offset) {
    return (int) (number(offset) & STREAM_MASK);
  }

  /** Returns the offset of the content in the payload, after any pad length and priority fields. */
  public int from() {
    return isPadded() ? 1 + prioritySize() : prioritySize();
  }

  /**
   * Returns the offset in the payload at which the content ends and any padding begins.
   *
   * @throws Http2ConnectionError with PROTOCOL_ERROR if the padding is longer than the rest of the
   *     payload
   */
  public int to() {
    int padding = isPadded() && payload.length > 0 ? payload[0] & 255 : 0;
    int to = payload.length - padding;
    if (to < from()) {
      throw new Http2ConnectionError(
          ErrorCode.PROTOCOL_ERROR,
          "padding of " + padding + " bytes exceeds the payload of " + payload.length + " bytes");
    }
    return to;
  }

  private boolean isPadded() {
    return (type == DATA || type == HEADERS) && has(PADDED);
  }

  private int prioritySize() {
    return type == HEADERS && has(WITH_PRIORITY) ? PRIORITY_SIZE : 0;
  }
}
