package tillerlink.net.http2;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import org.apache.hc.core5.http.Header;

/**
 * The client's side of one HTTP/2 connection (RFC 9113), without I/O: it is fed received bytes,
 * yields typed events, and hands out the bytes to write. What a peer can make it store or do is
 * bounded, whatever the peer sends. Not thread-safe: it belongs to the thread of its owner.
 */
public final class Http2ClientConnection {
  private static final byte[] PREFACE =
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /** What RFC 9113, section 6.5.2, counts for each header in addition to its name and value. */
  private static final int HEADER_OVERHEAD = 32;

  /** In place of the last id that the peer accepts: no GOAWAY was received. */
  private static final int NO_GOAWAY = Integer.MAX_VALUE;

  private final FrameReader reader = new FrameReader(new byte[0]);
  private final FrameWriter writer = new FrameWriter();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final StreamTable streams = new StreamTable();
  private final FloodGuard flood = new FloodGuard();
  private final FlowControl flow = new FlowControl(writer);
  private final PeerSettings peerSettings = new PeerSettings(writer, streams, flow);
  private final BodySender sender = new BodySender(writer, streams, flow);
  private final HeaderBlockReader headerBlocks = new HeaderBlockReader();
  private final ResponseReceiver receiver =
      new ResponseReceiver(writer, streams, flow, flood, events);

  private int lastAcceptedId = NO_GOAWAY;
  private boolean broken;
  private long pings;
  private boolean pingUnanswered;

  /** A new connection, whose preface and settings are ready to be written. */
  public Http2ClientConnection() {
    writer.raw(PREFACE);
    writer.settings(
        Frame.SETTINGS_ENABLE_PUSH,
        0,
        Frame.SETTINGS_MAX_HEADER_LIST_SIZE,
        HeaderBlockReader.MAX_LIST_SIZE);
    flow.openReceiveWindow();
  }

  // ---- what the owner does ----

  /**
   * Takes received bytes, which may end anywhere in a frame. A connection error becomes an {@link
   * Event.Broken}, after which further bytes are ignored.
   */
  public void feed(byte[] bytes) {
    if (broken) {
      return;
    }
    reader.feed(bytes);
    try {
      for (Frame frame = reader.next(); frame != null; frame = reader.next()) {
        dispatch(frame);
      }
    } catch (Http2ConnectionError e) {
      broken = true;
      writer.goAway(0, e.code());
      events.add(new Event.Broken(e.code(), e.getMessage()));
    }
  }

  /** The next event, or null. */
  public Event next() {
    return events.poll();
  }

  /** The bytes to write, handed out once; empty if there are none. */
  public byte[] take() {
    return writer.isEmpty() ? new byte[0] : writer.take();
  }

  /** The streams whose last byte is in what {@link #take} handed out last. */
  public List<Integer> takeSentRequests() {
    return sender.takeCompleted();
  }

  /** Whether a further stream may be opened: the peer's limit, its GOAWAY and the ids allow it. */
  public boolean takesStreams() {
    return !isSpent() && streams.size() < peerSettings.maxConcurrentStreams();
  }

  /** Whether no further stream may ever be opened. */
  public boolean isSpent() {
    return broken || lastAcceptedId != NO_GOAWAY || streams.isExhausted();
  }

  /** How many streams the peer allows to be open; {@code Long.MAX_VALUE} if it states none. */
  public long maxConcurrentStreams() {
    return peerSettings.maxConcurrentStreams();
  }

  /** Whether the peer's settings were received. */
  public boolean settingsReceived() {
    return peerSettings.received();
  }

  /** How many streams are open. */
  public int open() {
    return streams.size();
  }

  /** Whether the request of a stream was sent to its end; true for a stream that is over. */
  public boolean isRequestSent(int id) {
    Http2Stream stream = streams.find(id);
    return stream == null || !stream.hasUnsentBody();
  }

  /**
   * Opens a stream and sends its request; {@link #takesStreams} must hold.
   *
   * @return the stream's id
   * @throws IllegalArgumentException if the header list is longer than the peer takes
   */
  public int open(List<Header> headers, byte[] body) {
    long size = 0;
    for (Header header : headers) {
      size += header.getName().length() + header.getValue().length() + HEADER_OVERHEAD;
    }
    if (size > peerSettings.maxHeaderListSize()) {
      throw new IllegalArgumentException("a header list of " + size + " bytes");
    }
    Http2Stream stream = streams.open(body, flow.peerInitialWindow());
    writer.headers(stream.id(), headers, body.length == 0, Frame.FRAME_AT_START);
    if (body.length == 0) {
      sender.complete(stream.id());
    } else {
      sender.send();
    }
    return stream.id();
  }

  /** Resets a stream, if it is open; no event follows on it. */
  public void cancel(int id, ErrorCode code) {
    Http2Stream stream = streams.find(id);
    if (stream != null) {
      writer.reset(id, code);
      streams.remove(stream);
    }
  }

  /** Sends a PING; its acknowledgement becomes an {@link Event.Pong}. */
  public void ping() {
    pings++;
    pingUnanswered = true;
    writer.frame(Frame.PING, 0, 0, (int) (pings >> 32), (int) pings);
  }

  /** Sends a GOAWAY without an error, unless an error has ended the connection. */
  public void goAway() {
    if (!broken) {
      writer.goAway(0, ErrorCode.NO_ERROR);
    }
  }

  // ---- frames ----

  private void dispatch(Frame frame) {
    FrameChecks.require(headerBlocks.allows(frame), "a header block was not ended");
    FrameChecks.require(
        peerSettings.received() || (frame.type() == Frame.SETTINGS && !frame.has(Frame.ACK)),
        "the first frame is no settings");
    switch (frame.type()) {
      case Frame.DATA -> receiver.data(frame);
      case Frame.HEADERS -> headers(frame);
      case Frame.CONTINUATION -> headerList(headerBlocks.continueBlock(frame));
      case Frame.RST_STREAM -> receiver.reset(frame);
      case Frame.PRIORITY -> priority(frame);
      case Frame.PUSH_PROMISE ->
          throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a push, which was not enabled");
      default -> dispatchControl(frame);
    }
  }

  private void dispatchControl(Frame frame) {
    switch (frame.type()) {
      case Frame.SETTINGS -> settings(frame);
      case Frame.PING -> pingReceived(frame);
      case Frame.GOAWAY -> goAwayReceived(frame);
      case Frame.WINDOW_UPDATE -> windowUpdate(frame);
      // Unknown frames are ignored (section 4.1).
      default -> flood.countUseless();
    }
  }

  private void headers(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "headers on no stream");
    FrameChecks.require(!streams.isIdle(frame.stream()), "headers on an idle stream");
    FrameChecks.requireSize(frame.payload().length >= frame.from(), "headers");
    headerList(headerBlocks.begin(frame));
  }

  private void headerList(HeaderBlockReader.HeaderList list) {
    if (list != null) {
      receiver.headers(list);
    }
  }

  /** Priorities are ignored but for their form (section 6.3). */
  private void priority(Frame frame) {
    FrameChecks.require(frame.stream() != 0, "a priority on no stream");
    if (frame.payload().length != Frame.PRIORITY_SIZE) {
      Http2Stream stream = streams.find(frame.stream());
      if (stream == null) {
        flood.countUseless();
      } else {
        receiver.fail(stream, ErrorCode.FRAME_SIZE_ERROR);
      }
    }
    flood.countUseless();
  }

  private void settings(Frame frame) {
    FrameChecks.require(frame.stream() == 0, "settings on a stream");
    if (frame.has(Frame.ACK)) {
      FrameChecks.requireSize(frame.payload().length == 0, "settings that are a receipt");
      flood.countUseless();
      return;
    }
    FrameChecks.requireSize(PeerSettings.isWholeEntries(frame.payload().length), "settings");
    if (peerSettings.received()) {
      flood.countUseless();
    }
    peerSettings.apply(frame);
    writer.frame(Frame.SETTINGS, Frame.ACK, 0);
    events.add(new Event.Limits(peerSettings.maxConcurrentStreams()));
    sender.send();
  }

  private void pingReceived(Frame frame) {
    FrameChecks.require(frame.stream() == 0, "a ping on a stream");
    FrameChecks.requireSize(frame.payload().length == Frame.PING_SIZE, "a ping");
    boolean acknowledgement = frame.has(Frame.ACK);
    if (acknowledgement && pingUnanswered && ((frame.number(0) << 32) | frame.number(4)) == pings) {
      pingUnanswered = false;
      events.add(new Event.Pong());
      return;
    }
    flood.countUseless();
    if (!acknowledgement) {
      writer.frame(Frame.PING, Frame.ACK, 0, frame.payload(), 0, Frame.PING_SIZE);
    }
  }

  /** The last id may fall with a further GOAWAY, never rise (section 6.8). */
  private void goAwayReceived(Frame frame) {
    FrameChecks.require(frame.stream() == 0, "a GOAWAY on a stream");
    FrameChecks.requireSize(frame.payload().length >= 8, "a GOAWAY");
    flood.countUseless();
    int last = frame.id(0);
    FrameChecks.require(
        last <= lastAcceptedId || lastAcceptedId == NO_GOAWAY, "a GOAWAY whose id rises");
    ErrorCode code = ErrorCode.of((int) frame.number(4));
    // 2^31-1 is the first step of a graceful end: no id is that high, so no stream ends yet, but
    // none may be opened any more; an id one lower stands for it.
    lastAcceptedId = Math.min(last, NO_GOAWAY - 1);
    for (Http2Stream stream : streams.above(last)) {
      streams.remove(stream);
      events.add(new Event.Ended(stream.id(), StreamTermination.ABOVE_GOAWAY, code));
    }
    events.add(new Event.Leaving(last, code));
  }

  private void windowUpdate(Frame frame) {
    FrameChecks.requireSize(frame.payload().length == 4, "a window update");
    int credit = frame.id(0);
    if (frame.stream() == 0) {
      flow.growSendWindow(credit);
      flood.countUseless();
      sender.send();
      return;
    }
    FrameChecks.require(!streams.isIdle(frame.stream()), "a window update on an idle stream");
    flood.countUseless();
    Http2Stream stream = streams.find(frame.stream());
    if (stream == null) {
      return;
    }
    if (credit == 0) {
      receiver.fail(stream, ErrorCode.PROTOCOL_ERROR);
    } else if (!stream.changeSendWindow(credit)) {
      receiver.fail(stream, ErrorCode.FLOW_CONTROL_ERROR);
    } else {
      sender.send();
    }
  }
}
