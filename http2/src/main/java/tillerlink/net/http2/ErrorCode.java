package tillerlink.net.http2;

/** Error codes of RFC 9113, section 7, in the order of their numbers on the wire. */
public enum ErrorCode {
  NO_ERROR,
  PROTOCOL_ERROR,
  INTERNAL_ERROR,
  FLOW_CONTROL_ERROR,
  SETTINGS_TIMEOUT,
  STREAM_CLOSED,
  FRAME_SIZE_ERROR,
  REFUSED_STREAM,
  CANCEL,
  COMPRESSION_ERROR,
  CONNECT_ERROR,
  ENHANCE_YOUR_CALM,
  INADEQUATE_SECURITY,
  HTTP_1_1_REQUIRED;

  private static final ErrorCode[] ALL = values();

  /** The code of a number on the wire; an unknown one counts as INTERNAL_ERROR (section 7). */
  public static ErrorCode of(int code) {
    return code >= 0 && code < ALL.length ? ALL[code] : INTERNAL_ERROR;
  }

  /** The number on the wire. */
  public int code() {
    return ordinal();
  }
}
