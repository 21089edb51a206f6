package tillerlink.net.http2;

/** A connection error, which ends the whole connection (RFC 9113, section 5.4.1). */
public final class Http2ConnectionError extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final ErrorCode code;

  /**
   * Creates an error without a stack trace, because its cause is in the peer's bytes and not in
   * this program.
   *
   * @param code the code of the GOAWAY sent to the peer
   * @param reason the text to log
   */
  public Http2ConnectionError(ErrorCode code, String reason) {
    super(reason, null, false, false);
    this.code = code;
  }

  /** Returns the code of the GOAWAY sent to the peer. */
  public ErrorCode code() {
    return code;
  }
}
