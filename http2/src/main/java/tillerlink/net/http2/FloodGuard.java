package tillerlink.net.http2;

/**
 * Limits the frames without content in relation to those that carry data or a response, because a
 * peer could otherwise cause unlimited work with frames that transfer nothing.
 */
final class FloodGuard {
  /** Overhead frames tolerated in excess of those offset by content frames. */
  private static final int MAX_OVERHEAD_FRAMES = 1000;

  /** How many overhead frames one content frame offsets. */
  private static final int OVERHEAD_PER_CONTENT_FRAME = 20;

  private int overheadFrames;

  /**
   * Counts a frame without content.
   *
   * @throws Http2ConnectionError with ENHANCE_YOUR_CALM if the limit is exceeded
   */
  void countOverheadFrame() {
    if (++overheadFrames > MAX_OVERHEAD_FRAMES) {
      throw new Http2ConnectionError(
          ErrorCode.ENHANCE_YOUR_CALM,
          "more than " + MAX_OVERHEAD_FRAMES + " frames without content");
    }
  }

  /** Counts a frame that carried data or a response, which offsets some overhead frames. */
  void countContentFrame() {
    overheadFrames = Math.max(0, overheadFrames - OVERHEAD_PER_CONTENT_FRAME);
  }
}
