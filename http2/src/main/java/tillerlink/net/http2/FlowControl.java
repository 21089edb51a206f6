package tillerlink.net.http2;

/**
 * The windows of the connection, and the initial window of its streams (RFC 9113, section 5.2,
 * 6.9).
 */
final class FlowControl {
  static final long MAX_WINDOW = Integer.MAX_VALUE;

  /** What all streams together may send us before we return credit: some sixteen results. */
  private static final int RECEIVE_WINDOW = 1 << 20;

  private final FrameWriter writer;
  private long sendWindow = Frame.WINDOW_AT_START;
  private long receiveWindow = RECEIVE_WINDOW;
  private long peerInitialWindow = Frame.WINDOW_AT_START;

  FlowControl(FrameWriter writer) {
    this.writer = writer;
  }

  /** Grows our receive window from the protocol's initial size, at the connection's start. */
  void openReceiveWindow() {
    writer.frame(Frame.WINDOW_UPDATE, 0, 0, RECEIVE_WINDOW - Frame.WINDOW_AT_START);
  }

  /**
   * Counts received DATA, padding included, and returns credit once half of the window is used.
   *
   * @throws Http2ConnectionError of FLOW_CONTROL_ERROR if the peer exceeded the window
   */
  void consumeReceiveWindow(int length) {
    receiveWindow -= length;
    if (receiveWindow < 0) {
      throw new Http2ConnectionError(
          ErrorCode.FLOW_CONTROL_ERROR, "more data than the window lets through");
    }
    if (receiveWindow < RECEIVE_WINDOW / 2) {
      writer.frame(Frame.WINDOW_UPDATE, 0, 0, (int) (RECEIVE_WINDOW - receiveWindow));
      receiveWindow = RECEIVE_WINDOW;
    }
  }

  long sendWindow() {
    return sendWindow;
  }

  void consumeSendWindow(int length) {
    sendWindow -= length;
  }

  /**
   * Takes the credit of a WINDOW_UPDATE for the whole connection.
   *
   * @throws Http2ConnectionError if it is 0 or the window exceeds its maximum
   */
  void growSendWindow(int credit) {
    FrameChecks.require(credit > 0, "a window update of nothing");
    sendWindow += credit;
    if (sendWindow > MAX_WINDOW) {
      throw new Http2ConnectionError(
          ErrorCode.FLOW_CONTROL_ERROR, "the connection's window overflows");
    }
  }

  /** The window in which a new stream may send. */
  long peerInitialWindow() {
    return peerInitialWindow;
  }

  /**
   * Takes SETTINGS_INITIAL_WINDOW_SIZE, which also changes the windows of open streams.
   *
   * @throws Http2ConnectionError of FLOW_CONTROL_ERROR if a window exceeds its maximum
   */
  void setPeerInitialWindow(long size, StreamTable streams) {
    if (size > MAX_WINDOW) {
      throw new Http2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "a window too large");
    }
    long change = size - peerInitialWindow;
    peerInitialWindow = size;
    for (Http2Stream stream : streams.all()) {
      if (!stream.changeSendWindow(change)) {
        throw new Http2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "a window grown too large");
      }
    }
  }
}
