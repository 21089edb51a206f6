package tillerlink.net.http2;

/**
 * The flow-control windows of the connection, and the initial send window of its streams (RFC 9113,
 * sections 5.2 and 6.9). All sizes are bytes.
 */
final class FlowControl {
  static final long MAX_WINDOW = Integer.MAX_VALUE;

  /** Receive window shared by all streams; it holds some sixteen results. */
  private static final int RECEIVE_WINDOW = 1 << 20;

  private final FrameWriter writer;
  private long sendWindow = Frame.WINDOW_AT_START;
  private long receiveWindow = RECEIVE_WINDOW;
  private long peerInitialWindow = Frame.WINDOW_AT_START;

  FlowControl(FrameWriter writer) {
    this.writer = writer;
  }

  /** Enlarges the receive window from the protocol's initial size when the connection starts. */
  void openReceiveWindow() {
    writer.frame(Frame.WINDOW_UPDATE, 0, 0, RECEIVE_WINDOW - Frame.WINDOW_AT_START);
  }

  /**
   * Counts received DATA and returns credit to the peer once half of the window is used.
   *
   * @param length payload size, including padding
   * @throws Http2ConnectionError with FLOW_CONTROL_ERROR if the peer exceeded the window
   */
  void consumeReceiveWindow(int length) {
    receiveWindow -= length;
    if (receiveWindow < 0) {
      throw new Http2ConnectionError(
          ErrorCode.FLOW_CONTROL_ERROR,
          "DATA exceeds the connection's receive window by " + -receiveWindow + " bytes");
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
   * Enlarges the send window by the credit of a WINDOW_UPDATE for the connection.
   *
   * @throws Http2ConnectionError with PROTOCOL_ERROR if the credit is 0, with FLOW_CONTROL_ERROR if
   *     the window exceeds its maximum
   */
  void growSendWindow(int credit) {
    FrameChecks.require(credit > 0, "WINDOW_UPDATE for the connection has an increment of 0");
    sendWindow += credit;
    if (sendWindow > MAX_WINDOW) {
      throw new Http2ConnectionError(
          ErrorCode.FLOW_CONTROL_ERROR,
          "connection send window " + sendWindow + " exceeds " + MAX_WINDOW);
    }
  }

  /** Returns the initial send window of a new stream. */
  long peerInitialWindow() {
    return peerInitialWindow;
  }

  /**
   * Applies SETTINGS_INITIAL_WINDOW_SIZE, which also changes the send windows of open streams.
   *
   * @throws Http2ConnectionError with FLOW_CONTROL_ERROR if a window exceeds its maximum
   */
  void setPeerInitialWindow(long size, StreamTable streams) {
    if (size > MAX_WINDOW) {
      throw new Http2ConnectionError(
          ErrorCode.FLOW_CONTROL_ERROR,
          "SETTINGS_INITIAL_WINDOW_SIZE " + size + " exceeds " + MAX_WINDOW);
    }
    long change = size - peerInitialWindow;
    peerInitialWindow = size;
    for (Http2Stream stream : streams.all()) {
      if (!stream.changeSendWindow(change)) {
        throw new Http2ConnectionError(
            ErrorCode.FLOW_CONTROL_ERROR,
            "send window of stream " + stream.id() + " exceeds " + MAX_WINDOW + " after SETTINGS");
      }
    }
  }
}
