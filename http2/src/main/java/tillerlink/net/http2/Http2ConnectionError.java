package tillerlink.net.http2;

/** An error that ends the whole connection (RFC 9113, section 5.4.1). */
public final class Http2ConnectionError extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final ErrorCode code;

  /**
   * An error without a stack trace: its cause is in the peer's bytes, not in this program.
   *
   * @param code the code of the GOAWAY sent to the peer
   * @param why what is logged
   */
  public Http2ConnectionError(ErrorCode code, String why) {
    super(why, null, false, false);
    this.code = code;
  }

  /** The code of the GOAWAY sent to the peer. */
  public ErrorCode code() {
    return code;
  }
}
