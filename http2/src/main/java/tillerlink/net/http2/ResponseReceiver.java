package tillerlink.net.http2;

import java.util.Arrays;
import java.util.Queue;

/**
 * Converts frames received on streams into events for responses, their bodies and resets. Stream
 * errors end one stream alone (RFC 9113, sections 5.4.2 and 8.1).
 */
final class ResponseReceiver {
  private static final int FIRST_FINAL_STATUS = 200;

  private final FrameWriter writer;
  private final StreamTable streams;
  private final FlowControl flowControl;
  private final FloodGuard floodGuard;
  private final Queue<Event> events;

  ResponseReceiver(
      FrameWriter writer,
      StreamTable streams,
      FlowControl flowControl,
      FloodGuard floodGuard,
      Queue<Event> events) {
    this.writer = writer;
    this.streams = streams;
    this.flowControl = flowControl;
    this.floodGuard = floodGuard;
    this.events = events;
  }

  /**
   * Processes a DATA frame.
   *
   * @throws Http2ConnectionError if it is not allowed on that stream or exceeds the connection's
   *     window
   */
  void onData(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "DATA frame on stream 0");
    FrameChecks.require(!streams.isIdle(frame.stream()), "DATA frame on an idle stream");
    int flowLength = frame.payload().length;
    flowControl.consumeReceiveWindow(flowLength);
    int from = frame.from();
    int to = frame.to();
    boolean last = frame.has(Frame.END_STREAM);
    if (to == from && !last) {
      floodGuard.countOverheadFrame();
    } else {
      floodGuard.countContentFrame();
    }
    Http2Stream stream = streams.find(frame.stream());
    if (stream == null) {
      onFrameOfClosedStream(frame.stream());
    } else if (!stream.consumeReceiveWindow(flowLength)) {
      failStream(stream, ErrorCode.FLOW_CONTROL_ERROR);
    } else if (!stream.acceptBody(to - from, last)) {
      failStream(stream, ErrorCode.PROTOCOL_ERROR);
    } else {
      if (last) {
        endStream(stream);
      }
      events.add(new Event.Body(stream.id(), Arrays.copyOfRange(frame.payload(), from, to), last));
    }
  }

  /**
   * Processes a decoded header list: an interim response, a final response or trailers.
   *
   * @throws Http2ConnectionError if the peer has already ended that stream
   */
  void onHeaders(HeaderBlockReader.HeaderList list) {
    Http2Stream stream = streams.find(list.streamId());
    if (stream == null) {
      onFrameOfClosedStream(list.streamId());
      return;
    }
    int status = ResponseHeaders.status(list.headers(), stream.responseStarted());
    if (status == ResponseHeaders.MALFORMED) {
      failStream(stream, ErrorCode.PROTOCOL_ERROR);
    } else if (stream.responseStarted()) {
      onTrailers(stream, list.endStream());
    } else if (status < FIRST_FINAL_STATUS) {
      onInterimResponse(stream, list);
    } else {
      onResponse(stream, status, list);
    }
  }

  private void onTrailers(Http2Stream stream, boolean last) {
    if (!last || stream.lacksBody()) {
      failStream(stream, ErrorCode.PROTOCOL_ERROR);
      return;
    }
    endStream(stream);
    events.add(new Event.Body(stream.id(), new byte[0], true));
  }

  private void onInterimResponse(Http2Stream stream, HeaderBlockReader.HeaderList list) {
    if (list.endStream()) {
      failStream(stream, ErrorCode.PROTOCOL_ERROR);
    } else if (!stream.countInterimResponse()) {
      failStream(stream, ErrorCode.ENHANCE_YOUR_CALM);
    } else {
      events.add(new Event.InterimResponse(stream.id(), list.headers()));
    }
  }

  private void onResponse(Http2Stream stream, int status, HeaderBlockReader.HeaderList list) {
    floodGuard.countContentFrame();
    long length = ResponseHeaders.contentLength(list.headers());
    stream.startResponse(length);
    if (length == ResponseHeaders.BAD_CONTENT_LENGTH || (list.endStream() && stream.lacksBody())) {
      failStream(stream, ErrorCode.PROTOCOL_ERROR);
      return;
    }
    if (list.endStream()) {
      endStream(stream);
    }
    events.add(new Event.Response(stream.id(), status, list.headers(), list.endStream()));
  }

  /**
   * Processes a RST_STREAM frame.
   *
   * @throws Http2ConnectionError if it is malformed or not allowed on that stream
   */
  void onReset(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "RST_STREAM frame on stream 0");
    FrameChecks.require(!streams.isIdle(frame.stream()), "RST_STREAM frame on an idle stream");
    FrameChecks.requireSize(frame.payload().length == 4, "RST_STREAM");
    floodGuard.countOverheadFrame();
    Http2Stream stream = streams.find(frame.stream());
    if (stream == null) {
      return;
    }
    ErrorCode code = ErrorCode.of((int) frame.number(0));
    streams.remove(stream);
    events.add(new Event.StreamEnded(stream.id(), resetTermination(stream, code), code));
  }

  private static StreamTermination resetTermination(Http2Stream stream, ErrorCode code) {
    if (stream.responseStarted()) {
      return StreamTermination.RESET_IN_ANSWER;
    }
    return code == ErrorCode.REFUSED_STREAM
        ? StreamTermination.REFUSED
        : StreamTermination.RESET_BEFORE_ANSWER;
  }

  /** Resets an open stream because of a stream error of the peer. */
  void failStream(Http2Stream stream, ErrorCode code) {
    writer.reset(stream.id(), code);
    streams.remove(stream);
    events.add(new Event.StreamEnded(stream.id(), StreamTermination.GARBLED, code));
  }

  /**
   * Handles a frame on a closed stream. It is a connection error if the peer had ended the stream;
   * otherwise the peer sent the frame before it received the reset, and the frame is ignored.
   */
  private void onFrameOfClosedStream(int id) {
    if (streams.hasEnded(id)) {
      throw new Http2ConnectionError(
          ErrorCode.STREAM_CLOSED, "frame on stream " + id + ", which the peer has ended");
    }
    floodGuard.countOverheadFrame();
  }

  /**
   * Closes a stream that the peer ended. The unsent part of the request is discarded (section 8.1).
   */
  private void endStream(Http2Stream stream) {
    if (stream.hasUnsentBody()) {
      writer.reset(stream.id(), ErrorCode.NO_ERROR);
    }
    streams.removeEnded(stream);
  }
}
