package tillerlink.net.http2;

/** The error codes of RFC 9113, section 7, with their numbers on the wire. */
public enum ErrorCode {
  NO_ERROR(0x0),
  PROTOCOL_ERROR(0x1),
  INTERNAL_ERROR(0x2),
  FLOW_CONTROL_ERROR(0x3),
  SETTINGS_TIMEOUT(0x4),
  STREAM_CLOSED(0x5),
  FRAME_SIZE_ERROR(0x6),
  REFUSED_STREAM(0x7),
  CANCEL(0x8),
  COMPRESSION_ERROR(0x9),
  CONNECT_ERROR(0xa),
  ENHANCE_YOUR_CALM(0xb),
  INADEQUATE_SECURITY(0xc),
  HTTP_1_1_REQUIRED(0xd);

  private static final ErrorCode[] ALL = values();

  private final int code;

  ErrorCode(int code) {
    this.code = code;
  }

  /**
   * Returns the error code with a number on the wire.
   *
   * @return {@link #INTERNAL_ERROR} for an unknown number, which section 7 allows
   */
  public static ErrorCode of(int code) {
    for (ErrorCode candidate : ALL) {
      if (candidate.code == code) {
        return candidate;
      }
    }
    return INTERNAL_ERROR;
  }

  /** Returns the number on the wire. */
  public int code() {
    return code;
  }
}
