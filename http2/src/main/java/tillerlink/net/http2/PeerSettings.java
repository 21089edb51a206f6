package tillerlink.net.http2;

/**
 * The settings that the peer declared (RFC 9113, section 6.5), and their effects on our sending.
 */
final class PeerSettings {
  private static final int ENTRY_SIZE = 6;
  private static final int MAX_FRAME_SIZE_BOUND = 1 << 24;

  private final FrameWriter writer;
  private final StreamTable streams;
  private final FlowControl flow;
  private long maxConcurrentStreams = Long.MAX_VALUE;
  private long maxHeaderListSize = Long.MAX_VALUE;
  private boolean received;

  PeerSettings(FrameWriter writer, StreamTable streams, FlowControl flow) {
    this.writer = writer;
    this.streams = streams;
    this.flow = flow;
  }

  /** Whether any were received. */
  boolean received() {
    return received;
  }

  /** How many streams the peer allows to be open; {@code Long.MAX_VALUE} if it states none. */
  long maxConcurrentStreams() {
    return maxConcurrentStreams;
  }

  /** The largest header list that the peer takes; {@code Long.MAX_VALUE} if it states none. */
  long maxHeaderListSize() {
    return maxHeaderListSize;
  }

  /**
   * Takes a SETTINGS frame that is no acknowledgement; its size must have been checked.
   *
   * @throws Http2ConnectionError if a value is out of its range
   */
  void apply(Frame frame) {
    received = true;
    for (int offset = 0; offset < frame.payload().length; offset += ENTRY_SIZE) {
      int name = ((frame.payload()[offset] & 255) << 8) | (frame.payload()[offset + 1] & 255);
      apply(name, frame.number(offset + 2));
    }
  }

  /** Whether a payload of that length consists of whole entries. */
  static boolean isWholeEntries(int length) {
    return length % ENTRY_SIZE == 0;
  }

  private void apply(int name, long value) {
    switch (name) {
      case Frame.SETTINGS_HEADER_TABLE_SIZE ->
          writer.setMaxTableSize((int) Math.min(Integer.MAX_VALUE, value));
      case Frame.SETTINGS_ENABLE_PUSH ->
          FrameChecks.require(value == 0, "an engine that enables push");
      case Frame.SETTINGS_MAX_CONCURRENT_STREAMS -> maxConcurrentStreams = value;
      case Frame.SETTINGS_INITIAL_WINDOW_SIZE -> flow.setPeerInitialWindow(value, streams);
      // Checked only: we never send frames above the size that every peer takes.
      case Frame.SETTINGS_MAX_FRAME_SIZE ->
          FrameChecks.require(
              value >= Frame.FRAME_AT_START && value < MAX_FRAME_SIZE_BOUND,
              "a frame size out of range");
      case Frame.SETTINGS_MAX_HEADER_LIST_SIZE -> maxHeaderListSize = value;
      // Unknown settings are ignored (section 6.5.2).
      default -> {}
    }
  }
}
