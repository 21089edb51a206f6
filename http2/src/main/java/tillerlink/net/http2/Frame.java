package tillerlink.net.http2;

/** One frame as it stands on the wire (RFC 9113, section 4.1). */
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

  public static final int WINDOW_AT_START = 65_535;
  public static final int FRAME_AT_START = 16_384;
  private static final int STREAM_MASK = 0x7fffffff;

  public boolean has(int flag) {
    return (flags & flag) != 0;
  }

  /** Four bytes of the payload as a number without a sign. */
  public long number(int at) {
    return (payload[at] & 255L) << 24
        | (payload[at + 1] & 255) << 16
        | (payload[at + 2] & 255) << 8
        | payload[at + 3] & 255;
  }

  /**
   * Four bytes of the payload as a stream's id or a window's growth: the first bit says nothing.
   */
  public int id(int at) {
    return (int) (number(at) & STREAM_MASK);
  }

  /** Where what the frame bears begins: after the length of a padding and a priority. */
  public int from() {
    return (type == DATA || type == HEADERS) && has(PADDED) ? 1 + priority() : priority();
  }

  private int priority() {
    return type == HEADERS && has(WITH_PRIORITY) ? 5 : 0;
  }

  /**
   * Where it ends, before a padding.
   *
   * @throws Http2ConnectionError if the padding is longer than what there is
   */
  public int to() {
    int padding =
        (type == DATA || type == HEADERS) && has(PADDED) && payload.length > 0
            ? payload[0] & 255
            : 0;
    int to = payload.length - padding;
    if (to < from()) {
      throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "more padding than frame");
    }
    return to;
  }
}
