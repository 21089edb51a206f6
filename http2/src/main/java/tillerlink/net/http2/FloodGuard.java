package tillerlink.net.http2;

/** Limits the frames without content, which cost work, in relation to those that carry data. */
final class FloodGuard {
  /** Useless frames that are tolerated beyond those that useful ones have made up for. */
  private static final int MAX_USELESS = 1000;

  private static final int USELESS_PER_USEFUL = 20;

  private int useless;

  /**
   * Counts a frame without content.
   *
   * @throws Http2ConnectionError of ENHANCE_YOUR_CALM if there were too many
   */
  void countUseless() {
    if (++useless > MAX_USELESS) {
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "too much that brings nothing");
    }
  }

  /** Counts a frame that carried data or a response. */
  void countUseful() {
    useless = Math.max(0, useless - USELESS_PER_USEFUL);
  }
}
