package tillerlink.net.http2;

import java.util.Arrays;
import java.util.Queue;

/**
 * Turns what the peer sends on streams into events: responses, their bodies, resets, and the errors
 * that end one stream alone (RFC 9113, section 5.4.2, 8.1).
 */
final class ResponseReceiver {
  private static final int FIRST_FINAL_STATUS = 200;

  private final FrameWriter writer;
  private final StreamTable streams;
  private final FlowControl flow;
  private final FloodGuard flood;
  private final Queue<Event> events;

  ResponseReceiver(
      FrameWriter writer,
      StreamTable streams,
      FlowControl flow,
      FloodGuard flood,
      Queue<Event> events) {
    this.writer = writer;
    this.streams = streams;
    this.flow = flow;
    this.flood = flood;
    this.events = events;
  }

  /**
   * Takes a DATA frame.
   *
   * @throws Http2ConnectionError if it is not allowed on that stream, or exceeds the window
   */
  void data(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "data on no stream");
    FrameChecks.require(!streams.isIdle(frame.stream()), "data on an idle stream");
    int flowLength = frame.payload().length;
    flow.consumeReceiveWindow(flowLength);
    int from = frame.from();
    int to = frame.to();
    boolean last = frame.has(Frame.END_STREAM);
    if (to == from && !last) {
      flood.countUseless();
    } else {
      flood.countUseful();
    }
    Http2Stream stream = streams.find(frame.stream());
    if (stream == null) {
      frameOnClosedStream(frame.stream());
    } else if (!stream.consumeReceiveWindow(flowLength)) {
      fail(stream, ErrorCode.FLOW_CONTROL_ERROR);
    } else if (!stream.acceptBody(to - from, last)) {
      fail(stream, ErrorCode.PROTOCOL_ERROR);
    } else {
      if (last) {
        finish(stream);
      }
      events.add(new Event.Body(stream.id(), Arrays.copyOfRange(frame.payload(), from, to), last));
    }
  }

  /**
   * Takes a decoded header list: an interim response, a response or trailers.
   *
   * @throws Http2ConnectionError if the peer had ended that stream
   */
  void headers(HeaderBlockReader.HeaderList list) {
    Http2Stream stream = streams.find(list.stream());
    if (stream == null) {
      frameOnClosedStream(list.stream());
      return;
    }
    int status = ResponseHeaders.status(list.headers(), stream.responseStarted());
    if (status == ResponseHeaders.MALFORMED) {
      fail(stream, ErrorCode.PROTOCOL_ERROR);
    } else if (stream.responseStarted()) {
      trailers(stream, list.last());
    } else if (status < FIRST_FINAL_STATUS) {
      interimResponse(stream, list);
    } else {
      response(stream, status, list);
    }
  }

  private void trailers(Http2Stream stream, boolean last) {
    if (!last || stream.lacksBody()) {
      fail(stream, ErrorCode.PROTOCOL_ERROR);
      return;
    }
    finish(stream);
    events.add(new Event.Body(stream.id(), new byte[0], true));
  }

  private void interimResponse(Http2Stream stream, HeaderBlockReader.HeaderList list) {
    if (list.last()) {
      fail(stream, ErrorCode.PROTOCOL_ERROR);
    } else if (!stream.countInterimResponse()) {
      fail(stream, ErrorCode.ENHANCE_YOUR_CALM);
    } else {
      events.add(new Event.Interim(stream.id(), list.headers()));
    }
  }

  private void response(Http2Stream stream, int status, HeaderBlockReader.HeaderList list) {
    flood.countUseful();
    long length = ResponseHeaders.contentLength(list.headers());
    stream.startResponse(length);
    if (length == ResponseHeaders.BAD_CONTENT_LENGTH || (list.last() && stream.lacksBody())) {
      fail(stream, ErrorCode.PROTOCOL_ERROR);
      return;
    }
    if (list.last()) {
      finish(stream);
    }
    events.add(new Event.Response(stream.id(), status, list.headers(), list.last()));
  }

  /**
   * Takes a RST_STREAM frame.
   *
   * @throws Http2ConnectionError if it is malformed or not allowed on that stream
   */
  void reset(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "a reset of no stream");
    FrameChecks.require(!streams.isIdle(frame.stream()), "a reset of an idle stream");
    FrameChecks.requireSize(frame.payload().length == 4, "a reset");
    flood.countUseless();
    Http2Stream stream = streams.find(frame.stream());
    if (stream == null) {
      return;
    }
    ErrorCode code = ErrorCode.of((int) frame.number(0));
    streams.remove(stream);
    events.add(new Event.Ended(stream.id(), resetTermination(stream, code), code));
  }

  private static StreamTermination resetTermination(Http2Stream stream, ErrorCode code) {
    if (stream.responseStarted()) {
      return StreamTermination.RESET_IN_ANSWER;
    }
    return code == ErrorCode.REFUSED_STREAM
        ? StreamTermination.REFUSED
        : StreamTermination.RESET_BEFORE_ANSWER;
  }

  /** Resets an open stream for an error of the peer's on it. */
  void fail(Http2Stream stream, ErrorCode code) {
    writer.reset(stream.id(), code);
    streams.remove(stream);
    events.add(new Event.Ended(stream.id(), StreamTermination.GARBLED, code));
  }

  /** An error if the peer had ended the stream; otherwise the frame crossed our reset. */
  private void frameOnClosedStream(int id) {
    if (streams.hasEnded(id)) {
      throw new Http2ConnectionError(ErrorCode.STREAM_CLOSED, "more on a stream that had ended");
    }
    flood.countUseless();
  }

  /**
   * The peer ended the stream; what our request had not sent is not sent any more (section 8.1).
   */
  private void finish(Http2Stream stream) {
    if (stream.hasUnsentBody()) {
      writer.reset(stream.id(), ErrorCode.NO_ERROR);
    }
    streams.removeEnded(stream);
  }
}
