package tillerlink.net.http2;

/** Checks of received frames whose failure ends the connection (RFC 9113, section 5.4.1). */
final class FrameChecks {
  private FrameChecks() {}

  /**
   * Requires what the protocol demands.
   *
   * @param otherwise the reason given if it does not hold
   * @throws Http2ConnectionError of PROTOCOL_ERROR if it does not hold
   */
  static void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, otherwise);
    }
  }

  /**
   * Requires the size that the protocol demands of a frame.
   *
   * @param what the kind of frame, for the reason given if it does not hold
   * @throws Http2ConnectionError of FRAME_SIZE_ERROR if it does not hold
   */
  static void requireSize(boolean holds, String what) {
    if (!holds) {
      throw new Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, what + " of a wrong size");
    }
  }
}
