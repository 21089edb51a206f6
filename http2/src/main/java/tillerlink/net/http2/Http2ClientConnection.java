package tillerlink.net.http2;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import org.apache.hc.core5.http.Header;

/**
 * The client side of one HTTP/2 connection (RFC 9113), without I/O: it is fed received bytes,
 * returns typed events, and returns the bytes to write. The memory and work that a peer can cause
 * are bounded, whatever the peer sends. Not thread-safe: it belongs to the thread of its owner.
 */
public final class Http2ClientConnection {
  private static final byte[] PREFACE =
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /** Bytes that RFC 9113, section 6.5.2, counts for each header besides its name and value. */
  private static final int HEADER_OVERHEAD = 32;

  /** The value of {@link #lastAcceptedId} while no GOAWAY was received. */
  private static final int NO_GOAWAY = Integer.MAX_VALUE;

  private final FrameReader reader = new FrameReader(new byte[0]);
  private final FrameWriter writer = new FrameWriter();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final StreamTable streams = new StreamTable();
  private final FloodGuard floodGuard = new FloodGuard();
  private final FlowControl flowControl = new FlowControl(writer);
  private final PeerSettings peerSettings = new PeerSettings(writer, streams, flowControl);
  private final BodySender sender = new BodySender(writer, streams, flowControl);
  private final HeaderBlockReader headerBlocks = new HeaderBlockReader();
  private final ResponseReceiver receiver =
      new ResponseReceiver(writer, streams, flowControl, floodGuard, events);

  private int lastAcceptedId = NO_GOAWAY;
  private boolean failed;
  private long pings;
  private boolean pingUnanswered;

  /** Creates a connection whose preface and settings are ready to be written. */
  public Http2ClientConnection() {
    writer.raw(PREFACE);
    writer.settings(
        Frame.SETTINGS_ENABLE_PUSH,
        0,
        Frame.SETTINGS_MAX_HEADER_LIST_SIZE,
        HeaderBlockReader.MAX_LIST_SIZE);
    flowControl.openReceiveWindow();
  }

  // ---- operations of the owner ----

  /**
   * Processes received bytes, which may end anywhere in a frame. A connection error becomes an
   * {@link Event.ConnectionFailed}, after which further bytes are ignored.
   */
  public void feed(byte[] bytes) {
    if (failed) {
      return;
    }
    reader.feed(bytes);
    try {
      for (Frame frame = reader.next(); frame != null; frame = reader.next()) {
        dispatch(frame);
      }
    } catch (Http2ConnectionError e) {
      failed = true;
      writer.goAway(0, e.code());
      events.add(new Event.ConnectionFailed(e.code(), e.getMessage()));
    }
  }

  /**
   * Removes and returns the next event.
   *
   * @return null if there is none
   */
  public Event poll() {
    return events.poll();
  }

  /** Returns the bytes to write that no earlier call returned, possibly none. */
  public byte[] takeOutput() {
    return writer.isEmpty() ? new byte[0] : writer.take();
  }

  /**
   * Returns the ids of streams whose request was encoded to its end since the last call. Called
   * after {@link #takeOutput}, it names those whose last byte is in the bytes returned there.
   */
  public List<Integer> takeSentRequests() {
    return sender.takeSentRequests();
  }

  /**
   * Returns true if a further stream may be opened now: the peer's limit of open streams is not
   * reached, no GOAWAY was received and stream ids are left.
   */
  public boolean canOpenStream() {
    return !rejectsNewStreams() && streams.size() < peerSettings.maxConcurrentStreams();
  }

  /** Returns true if no further stream may ever be opened on this connection. */
  public boolean rejectsNewStreams() {
    return failed || lastAcceptedId != NO_GOAWAY || streams.isExhausted();
  }

  /**
   * Returns how many streams the peer allows to be open at once.
   *
   * @return {@code Long.MAX_VALUE} if the peer states no limit
   */
  public long maxConcurrentStreams() {
    return peerSettings.maxConcurrentStreams();
  }

  /** Returns true if the peer's settings were received. */
  public boolean settingsReceived() {
    return peerSettings.received();
  }

  /** Returns the number of open streams. */
  public int openStreamCount() {
    return streams.size();
  }

  /** Returns true if the request of a stream was sent to its end or the stream is closed. */
  public boolean isRequestSent(int id) {
    Http2Stream stream = streams.find(id);
    return stream == null || !stream.hasUnsentBody();
  }

  /**
   * Opens a stream and sends its request; {@link #canOpenStream} must be true.
   *
   * @param body the request's body; empty if it has none
   * @return the stream's id
   * @throws IllegalArgumentException if the header list is larger than the peer accepts
   */
  public int open(List<Header> headers, byte[] body) {
    long size = 0;
    for (Header header : headers) {
      size += header.getName().length() + header.getValue().length() + HEADER_OVERHEAD;
    }
    if (size > peerSettings.maxHeaderListSize()) {
      throw new IllegalArgumentException(
          "header list of "
              + size
              + " bytes exceeds the peer's limit of "
              + peerSettings.maxHeaderListSize());
    }
    Http2Stream stream = streams.open(body, flowControl.peerInitialWindow());
    writer.headers(stream.id(), headers, body.length == 0, Frame.FRAME_AT_START);
    if (body.length == 0) {
      sender.onRequestSent(stream.id());
    } else {
      sender.send();
    }
    return stream.id();
  }

  /** Resets a stream if it is open; no further event is reported for it. */
  public void cancel(int id, ErrorCode code) {
    Http2Stream stream = streams.find(id);
    if (stream != null) {
      writer.reset(id, code);
      streams.remove(stream);
    }
  }

  /** Sends a PING; its acknowledgement becomes an {@link Event.PingAcknowledged}. */
  public void ping() {
    pings++;
    pingUnanswered = true;
    writer.frame(Frame.PING, 0, 0, (int) (pings >> 32), (int) pings);
  }

  /** Sends a GOAWAY with NO_ERROR, unless a connection error has already sent one. */
  public void goAway() {
    if (!failed) {
      writer.goAway(0, ErrorCode.NO_ERROR);
    }
  }

  // ---- frames ----

  private void dispatch(Frame frame) {
    FrameChecks.require(headerBlocks.allows(frame), "frame interrupts a header block");
    FrameChecks.require(
        peerSettings.received() || (frame.type() == Frame.SETTINGS && !frame.has(Frame.ACK)),
        "first frame is not SETTINGS");
    switch (frame.type()) {
      case Frame.DATA -> receiver.onData(frame);
      case Frame.HEADERS -> onHeaders(frame);
      case Frame.CONTINUATION -> onHeaderList(headerBlocks.continueBlock(frame));
      case Frame.RST_STREAM -> receiver.onReset(frame);
      case Frame.PRIORITY -> onPriority(frame);
      case Frame.PUSH_PROMISE ->
          throw new Http2ConnectionError(
              ErrorCode.PROTOCOL_ERROR, "PUSH_PROMISE frame although push is disabled");
      default -> dispatchControl(frame);
    }
  }

  private void dispatchControl(Frame frame) {
    switch (frame.type()) {
      case Frame.SETTINGS -> onSettings(frame);
      case Frame.PING -> onPing(frame);
      case Frame.GOAWAY -> onGoAway(frame);
      case Frame.WINDOW_UPDATE -> onWindowUpdate(frame);
      // Frames of unknown types are ignored (section 4.1).
      default -> floodGuard.countOverheadFrame();
    }
  }

  private void onHeaders(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "HEADERS frame on stream 0");
    FrameChecks.require(!streams.isIdle(frame.stream()), "HEADERS frame on an idle stream");
    FrameChecks.requireSize(frame.payload().length >= frame.from(), "HEADERS");
    onHeaderList(headerBlocks.begin(frame));
  }

  private void onHeaderList(HeaderBlockReader.HeaderList list) {
    if (list != null) {
      receiver.onHeaders(list);
    }
  }

  /** Checks the size and stream id of a PRIORITY frame, whose content is ignored (section 6.3). */
  private void onPriority(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "PRIORITY frame on stream 0");
    if (frame.payload().length != Frame.PRIORITY_SIZE) {
      Http2Stream stream = streams.find(frame.stream());
      if (stream == null) {
        floodGuard.countOverheadFrame();
      } else {
        receiver.failStream(stream, ErrorCode.FRAME_SIZE_ERROR);
      }
    }
    floodGuard.countOverheadFrame();
  }

  private void onSettings(Frame frame) {
    FrameChecks.require(frame.stream() == 0, "SETTINGS frame on a stream");
    if (frame.has(Frame.ACK)) {
      FrameChecks.requireSize(frame.payload().length == 0, "SETTINGS ACK");
      floodGuard.countOverheadFrame();
      return;
    }
    FrameChecks.requireSize(PeerSettings.isWholeEntries(frame.payload().length), "SETTINGS");
    if (peerSettings.received()) {
      floodGuard.countOverheadFrame();
    }
    peerSettings.apply(frame);
    writer.frame(Frame.SETTINGS, Frame.ACK, 0);
    events.add(new Event.SettingsReceived(peerSettings.maxConcurrentStreams()));
    sender.send();
  }

  private void onPing(Frame frame) {
    FrameChecks.require(frame.stream() == 0, "PING frame on a stream");
    FrameChecks.requireSize(frame.payload().length == Frame.PING_SIZE, "PING");
    boolean acknowledgement = frame.has(Frame.ACK);
    if (acknowledgement && pingUnanswered && ((frame.number(0) << 32) | frame.number(4)) == pings) {
      pingUnanswered = false;
      events.add(new Event.PingAcknowledged());
      return;
    }
    floodGuard.countOverheadFrame();
    if (!acknowledgement) {
      writer.frame(Frame.PING, Frame.ACK, 0, frame.payload(), 0, Frame.PING_SIZE);
    }
  }

  /**
   * Processes a GOAWAY. A further GOAWAY may lower the last stream id, never raise it (section
   * 6.8).
   */
  private void onGoAway(Frame frame) {
    FrameChecks.require(frame.stream() == 0, "GOAWAY frame on a stream");
    FrameChecks.requireSize(frame.payload().length >= 8, "GOAWAY");
    floodGuard.countOverheadFrame();
    int lastStreamId = frame.id(0);
    FrameChecks.require(
        lastStreamId <= lastAcceptedId || lastAcceptedId == NO_GOAWAY,
        "GOAWAY raises the last stream id to " + lastStreamId);
    ErrorCode code = ErrorCode.of((int) frame.number(4));
    // A last id of 2^31-1 announces a graceful shutdown: no stream ends yet, but none may be opened
    // any more. It is stored as 2^31-2, because 2^31-1 means that no GOAWAY was received; no stream
    // opened here has an id above 2^31-2.
    lastAcceptedId = Math.min(lastStreamId, NO_GOAWAY - 1);
    for (Http2Stream stream : streams.above(lastStreamId)) {
      streams.remove(stream);
      events.add(new Event.StreamEnded(stream.id(), StreamTermination.ABOVE_GOAWAY, code));
    }
    events.add(new Event.GoAwayReceived(lastStreamId, code));
  }

  private void onWindowUpdate(Frame frame) {
    FrameChecks.requireSize(frame.payload().length == 4, "WINDOW_UPDATE");
    int credit = frame.id(0);
    if (frame.stream() == 0) {
      flowControl.growSendWindow(credit);
      floodGuard.countOverheadFrame();
      sender.send();
      return;
    }
    FrameChecks.require(!streams.isIdle(frame.stream()), "WINDOW_UPDATE frame on an idle stream");
    floodGuard.countOverheadFrame();
    Http2Stream stream = streams.find(frame.stream());
    if (stream == null) {
      return;
    }
    if (credit == 0) {
      receiver.failStream(stream, ErrorCode.PROTOCOL_ERROR);
    } else if (!stream.changeSendWindow(credit)) {
      receiver.failStream(stream, ErrorCode.FLOW_CONTROL_ERROR);
    } else {
      sender.send();
    }
  }
}
