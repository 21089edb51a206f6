package tillerlink.net.http2;

/** An error that ends the whole connection (RFC 9113, section 5.4.1). */
public final class Http2ConnectionError extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final ErrorCode code;

  /**
   * An error without a stack trace: it tells of the peer's bytes, not of a place in this program.
   *
   * @param code what the peer is told in the GOAWAY
   * @param why what is logged
   */
  public Http2ConnectionError(ErrorCode code, String why) {
    super(why, null, false, false);
    this.code = code;
  }

  /** What the peer is told in the GOAWAY. */
  public ErrorCode code() {
    return code;
  }
}
