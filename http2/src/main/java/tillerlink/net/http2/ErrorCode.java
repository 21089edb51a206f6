package tillerlink.net.http2;

/** Error codes of RFC 9113, section 7. */
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

  /** An unknown code counts as INTERNAL_ERROR, as section 7 allows. */
  public static ErrorCode of(int code) {
    return code >= 0 && code < ALL.length ? ALL[code] : INTERNAL_ERROR;
  }

  public int code() {
    return ordinal();
  }
}
