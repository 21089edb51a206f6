package tillerlink.net.http2;

/** Checks of received frames whose failure is a connection error (RFC 9113, section 5.4.1). */
final class FrameChecks {
  private FrameChecks() {}

  /**
   * Checks a condition that the protocol demands.
   *
   * @param violation the error text if the condition does not hold
   * @throws Http2ConnectionError with PROTOCOL_ERROR if the condition does not hold
   */
  static void require(boolean condition, String violation) {
    if (!condition) {
      throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, violation);
    }
  }

  /**
   * Checks a condition on the size of a frame.
   *
   * @param frameName the name of the frame type, for the error text
   * @throws Http2ConnectionError with FRAME_SIZE_ERROR if the condition does not hold
   */
  static void requireSize(boolean condition, String frameName) {
    if (!condition) {
      throw new Http2ConnectionError(
          ErrorCode.FRAME_SIZE_ERROR, frameName + " frame has an invalid size");
    }
  }
}
