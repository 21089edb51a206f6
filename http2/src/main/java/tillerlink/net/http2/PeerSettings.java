package tillerlink.net.http2;

/** The settings that the peer declared (RFC 9113, section 6.5), applied to what this side sends. */
final class PeerSettings {
  private static final int ENTRY_SIZE = 6;

  /** The exclusive upper bound of SETTINGS_MAX_FRAME_SIZE (section 6.5.2). */
  private static final int MAX_FRAME_SIZE_BOUND = 1 << 24;

  private final FrameWriter writer;
  private final StreamTable streams;
  private final FlowControl flowControl;
  private long maxConcurrentStreams = Long.MAX_VALUE;
  private long maxHeaderListSize = Long.MAX_VALUE;
  private boolean received;

  PeerSettings(FrameWriter writer, StreamTable streams, FlowControl flowControl) {
    this.writer = writer;
    this.streams = streams;
    this.flowControl = flowControl;
  }

  /** Returns true if a SETTINGS frame was applied. */
  boolean received() {
    return received;
  }

  /**
   * Returns how many streams the peer allows to be open at once.
   *
   * @return {@code Long.MAX_VALUE} if the peer states no limit
   */
  long maxConcurrentStreams() {
    return maxConcurrentStreams;
  }

  /**
   * Returns the largest header list, in bytes, that the peer accepts.
   *
   * @return {@code Long.MAX_VALUE} if the peer states no limit
   */
  long maxHeaderListSize() {
    return maxHeaderListSize;
  }

  /**
   * Applies a SETTINGS frame that is not an acknowledgement; its size must have been checked.
   *
   * @throws Http2ConnectionError if a value is out of its range
   */
  void apply(Frame frame) {
    received = true;
    for (int offset = 0; offset < frame.payload().length; offset += ENTRY_SIZE) {
      int identifier = ((frame.payload()[offset] & 255) << 8) | (frame.payload()[offset + 1] & 255);
      apply(identifier, frame.number(offset + 2));
    }
  }

  /** Returns true if a payload of a length in bytes consists of complete settings entries. */
  static boolean isWholeEntries(int length) {
    return length % ENTRY_SIZE == 0;
  }

  private void apply(int identifier, long value) {
    switch (identifier) {
      case Frame.SETTINGS_HEADER_TABLE_SIZE ->
          writer.setMaxTableSize((int) Math.min(Integer.MAX_VALUE, value));
      case Frame.SETTINGS_ENABLE_PUSH ->
          FrameChecks.require(
              value == 0, "SETTINGS_ENABLE_PUSH from a server is " + value + ", expected 0");
      case Frame.SETTINGS_MAX_CONCURRENT_STREAMS -> maxConcurrentStreams = value;
      case Frame.SETTINGS_INITIAL_WINDOW_SIZE -> flowControl.setPeerInitialWindow(value, streams);
      // Only checked, because frames larger than the size that every peer accepts are never sent.
      case Frame.SETTINGS_MAX_FRAME_SIZE ->
          FrameChecks.require(
              value >= Frame.FRAME_AT_START && value < MAX_FRAME_SIZE_BOUND,
              "SETTINGS_MAX_FRAME_SIZE is " + value + ", expected 16384 to 16777215");
      case Frame.SETTINGS_MAX_HEADER_LIST_SIZE -> maxHeaderListSize = value;
      // Unknown settings are ignored (section 6.5.2).
      default -> {}
    }
  }
}
