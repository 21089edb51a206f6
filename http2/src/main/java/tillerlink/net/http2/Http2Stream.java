package tillerlink.net.http2;

/** The state of one open stream: what its request still has to send, and its response so far. */
final class Http2Stream {
  /** Interim responses (1xx) that are tolerated ahead of one final response. */
  private static final int MAX_INTERIM_RESPONSES = 1000;

  private final int id;

  /** The request's body, or null once it was sent or dropped. */
  private byte[] body;

  private int sent;
  private long sendWindow;
  private long receiveWindow = Frame.WINDOW_AT_START;
  private boolean responseStarted;
  private long remainingLength = ResponseHeaders.NO_CONTENT_LENGTH;
  private int interimResponses;

  /**
   * @param body the request's body; null if it has none
   * @param sendWindow the peer's initial window for a stream
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

  /** Whether the request was not yet sent to its end. */
  boolean hasUnsentBody() {
    return body != null;
  }

  /** Whether there is a body to send and the stream's window allows some of it. */
  boolean canSend() {
    return body != null && sendWindow > 0;
  }

  /**
   * Writes the next DATA frame; {@link #canSend} must hold.
   *
   * @param connectionWindow what the connection's window allows, at least 1
   * @return how many bytes were sent
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

  /** Gives up what was not yet sent of the body. */
  void dropBody() {
    body = null;
  }

  /** Changes the send window, which may fall below 0; false if it grows beyond the maximum. */
  boolean changeSendWindow(long change) {
    sendWindow += change;
    return sendWindow <= FlowControl.MAX_WINDOW;
  }

  // ---- response ----

  /** Whether the final response's headers were received. */
  boolean responseStarted() {
    return responseStarted;
  }

  /** Takes the final response's headers, with the length of the body they state. */
  void startResponse(long contentLength) {
    responseStarted = true;
    remainingLength = contentLength;
  }

  /** Counts an interim response; false if there were too many. */
  boolean countInterimResponse() {
    return ++interimResponses <= MAX_INTERIM_RESPONSES;
  }

  /** Counts received bytes, padding included; false if they exceed the stream's window. */
  boolean consumeReceiveWindow(int length) {
    receiveWindow -= length;
    return receiveWindow >= 0;
  }

  /** Takes a part of the body; false if none is allowed, or it differs from the stated length. */
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

  /** Whether less of the body was received than the headers stated. */
  boolean lacksBody() {
    return remainingLength > 0;
  }
}
