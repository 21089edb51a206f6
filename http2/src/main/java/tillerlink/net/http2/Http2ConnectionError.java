package tillerlink.net.http2;

/** What ends the whole connection (RFC 9113, section 5.4.1). */
public final class Http2ConnectionError extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final ErrorCode code;

  public Http2ConnectionError(ErrorCode code, String why) {
    super(why, null, false, false);
    this.code = code;
  }

  public ErrorCode code() {
    return code;
  }
}
