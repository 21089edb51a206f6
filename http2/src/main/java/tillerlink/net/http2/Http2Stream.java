package tillerlink.net.http2;

/** The state of an open stream: the unsent part of its request, and its response so far. */
final class Http2Stream {
  /** Interim responses (1xx) that are tolerated ahead of one final response. */
  private static final int MAX_INTERIM_RESPONSES = 1000;

  private final int id;

  /** The request's body; null if there is none, or it was sent to its end or dropped. */
  private byte[] body;

  private int sent;
  private long sendWindow;
  private long receiveWindow = Frame.WINDOW_AT_START;
  private boolean responseStarted;
  private long remainingLength = ResponseHeaders.NO_CONTENT_LENGTH;
  private int interimResponses;

  /**
   * Creates an open stream.
   *
   * @param body the request's body; null if it has none
   * @param sendWindow the peer's initial window for a stream, in bytes
   */
  Http2Stream(int id, byte[] body, long sendWindow) {
    this.id = id;
    this.body = body;
    this.sendWindow = sendWindow;
  }

  int id() {
    return id;
  }

  // ---- request ----

  /** Returns true if the request was not yet sent to its end. */
  boolean hasUnsentBody() {
    return body != null;
  }

  /** Returns true if a part of the body is unsent and the stream's window allows some of it. */
  boolean canSend() {
    return body != null && sendWindow > 0;
  }

  /**
   * Writes the next DATA frame; {@link #canSend} must be true.
   *
   * @param connectionWindow the connection's send window in bytes, at least 1
   * @return the number of bytes sent
   */
  int sendFrame(FrameWriter writer, long connectionWindow) {
    int length =
        (int)
            Math.min(
                Math.min(connectionWindow, sendWindow),
                Math.min(Frame.FRAME_AT_START, body.length - sent));
    boolean last = sent + length == body.length;
    writer.frame(Frame.DATA, last ? Frame.END_STREAM : 0, id, body, sent, length);
    sendWindow -= length;
    sent += length;
    if (last) {
      body = null;
    }
    return length;
  }

  /** Discards the unsent part of the body. */
  void dropBody() {
    body = null;
  }

  /**
   * Changes the send window, which may fall below 0.
   *
   * @return false if the window exceeds its maximum
   */
  boolean changeSendWindow(long change) {
    sendWindow += change;
    return sendWindow <= FlowControl.MAX_WINDOW;
  }

  // ---- response ----

  /** Returns true if the final response's headers were received. */
  boolean responseStarted() {
    return responseStarted;
  }

  /**
   * Records that the final response's headers were received.
   *
   * @param contentLength the declared body length in bytes, or negative if none is known
   */
  void startResponse(long contentLength) {
    responseStarted = true;
    remainingLength = contentLength;
  }

  /**
   * Counts an interim response.
   *
   * @return false if there were too many
   */
  boolean countInterimResponse() {
    return ++interimResponses <= MAX_INTERIM_RESPONSES;
  }

  /**
   * Counts received bytes, including padding, against the stream's receive window.
   *
   * @return false if they exceed the window
   */
  boolean consumeReceiveWindow(int length) {
    receiveWindow -= length;
    return receiveWindow >= 0;
  }

  /**
   * Counts a received part of the body.
   *
   * @param length bytes of content, without padding
   * @param last whether the part ends the body
   * @return false if no body is allowed before the headers, or the body contradicts the declared
   *     length
   */
  boolean acceptBody(int length, boolean last) {
    if (!responseStarted) {
      return false;
    }
    if (remainingLength < 0) {
      return true;
    }
    remainingLength -= length;
    return remainingLength >= 0 && !(last && remainingLength > 0);
  }

  /** Returns true if less of the body was received than the headers declared. */
  boolean lacksBody() {
    return remainingLength > 0;
  }
}
