package tillerlink.net.http2;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http2.hpack.HPackDecoder;
import org.apache.hc.core5.http2.hpack.HPackException;
import org.apache.hc.core5.http2.hpack.HeaderListConstraintException;

/**
 * The client's side of one HTTP/2 connection (RFC 9113): fed bytes, it knows no socket; one typed
 * event comes out for each thing that happened. What a peer can make it keep or do is bounded,
 * whatever it sends.
 */
public final class Http2ClientConnection {
  private static final byte[] PREFACE =
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int TABLE = 4096;
  private static final int LIST_MOST = 16_384;
  private static final int BLOCK_MOST = 16_384;
  private static final int CONTINUATIONS_MOST = 8;
  private static final long WINDOW_MOST = Integer.MAX_VALUE;

  /** What all streams together may send us before we let go on: some sixteen results. */
  private static final int RECEIVE_WINDOW = 1 << 20;

  /** Frames that bring nothing, for each that does: beyond this the peer is told to calm down. */
  private static final int NUISANCE_MOST = 1000;

  private static final int NUISANCE_PER_USE = 20;

  /** Words ahead of one answer. */
  private static final int INTERIMS_MOST = 1000;

  private static final int DONE_KEPT = 64;
  private static final int FIRST_STREAM = 1;
  private static final int LAST_STREAM = Integer.MAX_VALUE - 2;

  /** A stream that is open. */
  private static final class Stream {
    private final int id;
    private byte[] body;
    private int sent;
    private long sendWindow;
    private long receiveWindow = Frame.WINDOW_AT_START;
    private boolean answered;
    private long bodyLeft = -1;
    private int interims;

    Stream(int id, byte[] body, long sendWindow) {
      this.id = id;
      this.body = body;
      this.sendWindow = sendWindow;
    }

    boolean whole() {
      return body == null;
    }
  }

  private final FrameReader reader = new FrameReader(new byte[0]);
  private final FrameWriter writer = new FrameWriter();
  private final HPackDecoder decoder = new HPackDecoder(TABLE, StandardCharsets.US_ASCII);
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final Map<Integer, Stream> streams = new LinkedHashMap<>();

  /** Streams whose last byte was written since that was last asked. */
  private final List<Integer> justSent = new ArrayList<>();

  /**
   * Streams of which the peer has said its last word, the latest: what still comes on them is a
   * fault.
   */
  private final ArrayDeque<Integer> done = new ArrayDeque<>();

  /** How many streams have something to send. */
  private int sending;

  private int nextId = FIRST_STREAM;
  private long sendWindow = Frame.WINDOW_AT_START;
  private long receiveWindow = RECEIVE_WINDOW;
  private long peerWindowAtStart = Frame.WINDOW_AT_START;
  private int peerFrameMost = Frame.FRAME_AT_START;
  private long peerStreamsMost = Long.MAX_VALUE;
  private long peerListMost = Long.MAX_VALUE;
  private boolean settingsSeen;
  private int lastTaken = Integer.MAX_VALUE;
  private boolean broken;
  private int nuisance;
  private int blockStream;
  private int blockFlags;
  private int blockFrames;
  private byte[] block = new byte[0];
  private long pings;
  private boolean pinging;

  public Http2ClientConnection() {
    decoder.setMaxListSize(LIST_MOST);
    writer.raw(PREFACE);
    writer.settings(Frame.SETTINGS_ENABLE_PUSH, 0, Frame.SETTINGS_MAX_HEADER_LIST_SIZE, LIST_MOST);
    writer.frame(Frame.WINDOW_UPDATE, 0, 0, RECEIVE_WINDOW - Frame.WINDOW_AT_START);
  }

  // ---- what the owner does ----

  public void feed(byte[] bytes) {
    if (broken) {
      return;
    }
    reader.feed(bytes);
    try {
      for (Frame frame = reader.next(); frame != null && !broken; frame = reader.next()) {
        take(frame);
      }
    } catch (Http2ConnectionError e) {
      fail(e.code(), e.getMessage());
    }
  }

  /** The next thing that happened, or null. */
  public Event next() {
    return events.poll();
  }

  /** What is to be written, taken once; empty if there is nothing. */
  public byte[] take() {
    return writer.isEmpty() ? new byte[0] : writer.take();
  }

  /** The streams whose last byte is in what was taken last. */
  public List<Integer> sentWhole() {
    List<Integer> sent = List.copyOf(justSent);
    justSent.clear();
    return sent;
  }

  /** Whether a further stream may be opened: the peer's limit, its GOAWAY and the ids allow it. */
  public boolean takesStreams() {
    return !broken
        && lastTaken == Integer.MAX_VALUE
        && nextId < LAST_STREAM
        && streams.size() < peerStreamsMost;
  }

  /** Whether it will never take another. */
  public boolean isSpent() {
    return broken || lastTaken != Integer.MAX_VALUE || nextId >= LAST_STREAM;
  }

  public long streamsMost() {
    return peerStreamsMost;
  }

  public boolean settingsSeen() {
    return settingsSeen;
  }

  public int open() {
    return streams.size();
  }

  /** Whether the request of a stream has been written to its end; true for one that is over. */
  public boolean isWhole(int id) {
    Stream stream = streams.get(id);
    return stream == null || stream.whole();
  }

  /**
   * Opens a stream; {@link #takesStreams} must hold.
   *
   * @throws IllegalArgumentException if the peer does not take header lists as long
   */
  public int open(List<Header> headers, byte[] body) {
    long size = 0;
    for (Header header : headers) {
      size += header.getName().length() + header.getValue().length() + 32;
    }
    if (size > peerListMost) {
      throw new IllegalArgumentException("a header list of " + size + " bytes");
    }
    int id = nextId;
    nextId += 2;
    Stream stream = new Stream(id, body.length == 0 ? null : body, peerWindowAtStart);
    streams.put(id, stream);
    writer.headers(id, headers, body.length == 0, peerFrameMost);
    if (body.length == 0) {
      justSent.add(id);
    } else {
      sending++;
      pump();
    }
    return id;
  }

  /** Gives a stream up, if it is open. */
  public void cancel(int id, ErrorCode code) {
    Stream stream = streams.get(id);
    if (stream != null) {
      writer.reset(id, code);
      remove(stream);
    }
  }

  public void ping() {
    pings++;
    pinging = true;
    writer.frame(Frame.PING, 0, 0, (int) (pings >> 32), (int) pings);
  }

  /** Says that it goes. */
  public void goAway() {
    if (!broken) {
      writer.goAway(0, ErrorCode.NO_ERROR);
    }
  }

  // ---- frames ----

  private void take(Frame frame) {
    if (blockStream != 0 && (frame.type() != Frame.CONTINUATION || frame.stream() != blockStream)) {
      throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a header block was not ended");
    }
    if (!settingsSeen && (frame.type() != Frame.SETTINGS || frame.has(Frame.ACK))) {
      throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "the first frame is no settings");
    }
    switch (frame.type()) {
      case Frame.DATA -> data(frame);
      case Frame.HEADERS -> headers(frame);
      case Frame.CONTINUATION -> continuation(frame);
      case Frame.RST_STREAM -> reset(frame);
      case Frame.SETTINGS -> settings(frame);
      case Frame.PING -> pinged(frame);
      case Frame.GOAWAY -> leaving(frame);
      case Frame.WINDOW_UPDATE -> opened(frame);
      case Frame.PUSH_PROMISE ->
          throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a push, which was not enabled");
      case Frame.PRIORITY -> {
        need(frame.stream() != 0, "a priority on no stream");
        if (frame.payload().length != 5) {
          streamFault(frame.stream(), ErrorCode.FRAME_SIZE_ERROR);
        }
        bother();
      }
      // Unknown frames are passed over (section 4.1).
      default -> bother();
    }
  }

  private static void need(boolean holds, String otherwise) {
    if (!holds) {
      throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, otherwise);
    }
  }

  private static void size(boolean holds, String what) {
    if (!holds) {
      throw new Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, what + " of a wrong size");
    }
  }

  /** Guards against floods of frames that cost work and bring nothing. */
  private void bother() {
    if (++nuisance > NUISANCE_MOST) {
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "too much that brings nothing");
    }
  }

  private void useful() {
    nuisance = Math.max(0, nuisance - NUISANCE_PER_USE);
  }

  /** An id that was never opened here. */
  private boolean idle(int id) {
    return id >= nextId || id % 2 == 0;
  }

  private void data(Frame frame) {
    need(frame.stream() != 0, "data on no stream");
    need(!idle(frame.stream()), "data on an idle stream");
    int length = frame.payload().length;
    receiveWindow -= length;
    if (receiveWindow < 0) {
      throw new Http2ConnectionError(
          ErrorCode.FLOW_CONTROL_ERROR, "more data than the window lets through");
    }
    if (receiveWindow < RECEIVE_WINDOW / 2) {
      writer.frame(Frame.WINDOW_UPDATE, 0, 0, (int) (RECEIVE_WINDOW - receiveWindow));
      receiveWindow = RECEIVE_WINDOW;
    }
    int from = frame.from();
    int to = frame.to();
    boolean last = frame.has(Frame.END_STREAM);
    if (to == from && !last) {
      bother();
    } else {
      useful();
    }
    Stream stream = streams.get(frame.stream());
    if (stream == null) {
      afterEnd(frame.stream());
      return;
    }
    stream.receiveWindow -= length;
    if (stream.receiveWindow < 0) {
      streamFault(stream.id, ErrorCode.FLOW_CONTROL_ERROR);
      return;
    }
    if (!stream.answered
        || stream.bodyLeft >= 0 && (stream.bodyLeft -= to - from) < 0
        || last && stream.bodyLeft > 0) {
      garbled(stream);
      return;
    }
    if (last) {
      finish(stream);
    }
    events.add(new Event.Body(stream.id, Arrays.copyOfRange(frame.payload(), from, to), last));
  }

  /**
   * On a stream that is over: a fault if its last word had been said, else it crossed our reset.
   */
  private void afterEnd(int id) {
    if (done.contains(id)) {
      throw new Http2ConnectionError(ErrorCode.STREAM_CLOSED, "more on a stream that had ended");
    }
    bother();
  }

  private void headers(Frame frame) {
    need(frame.stream() != 0, "headers on no stream");
    need(!idle(frame.stream()), "headers on an idle stream");
    size(frame.payload().length >= frame.from(), "headers");
    int from = frame.from();
    int to = frame.to();
    blockStream = frame.stream();
    blockFlags = frame.flags();
    blockFrames = 0;
    block = new byte[0];
    append(frame.payload(), from, to - from, frame.has(Frame.END_HEADERS));
  }

  private void continuation(Frame frame) {
    need(blockStream != 0, "a continuation of nothing");
    if (++blockFrames > CONTINUATIONS_MOST) {
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "endless continuations");
    }
    append(frame.payload(), 0, frame.payload().length, frame.has(Frame.END_HEADERS));
  }

  private void append(byte[] more, int from, int length, boolean last) {
    if (block.length + length > BLOCK_MOST) {
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a header block too long");
    }
    byte[] joined = Arrays.copyOf(block, block.length + length);
    System.arraycopy(more, from, joined, block.length, length);
    block = joined;
    if (last) {
      int id = blockStream;
      blockStream = 0;
      decoded(id, (blockFlags & Frame.END_STREAM) != 0);
      block = new byte[0];
    }
  }

  /** Also what comes on a stream that is over must be decoded: the table of headers is shared. */
  private void decoded(int id, boolean last) {
    List<Header> headers = null;
    try {
      headers = decoder.decodeHeaders(ByteBuffer.wrap(block));
    } catch (HeaderListConstraintException e) {
      // The library stops in the middle, so that the shared table can't be trusted any more.
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a header list too long");
    } catch (HPackException | RuntimeException e) {
      throw new Http2ConnectionError(ErrorCode.COMPRESSION_ERROR, "headers that can't be decoded");
    }
    Stream stream = streams.get(id);
    if (stream == null) {
      afterEnd(id);
      return;
    }
    int status = status(headers, stream.answered);
    if (status < 0 || stream.answered && !last) {
      garbled(stream);
    } else if (stream.answered) {
      // Trailers.
      if (stream.bodyLeft > 0) {
        garbled(stream);
        return;
      }
      finish(stream);
      events.add(new Event.Body(id, new byte[0], true));
    } else if (status < 200) {
      if (last) {
        garbled(stream);
        return;
      }
      if (++stream.interims > INTERIMS_MOST) {
        streamFault(id, ErrorCode.ENHANCE_YOUR_CALM);
        return;
      }
      events.add(new Event.Interim(id, headers));
    } else {
      useful();
      stream.answered = true;
      stream.bodyLeft = length(headers);
      if (stream.bodyLeft < -1 || last && stream.bodyLeft > 0) {
        garbled(stream);
        return;
      }
      if (last) {
        finish(stream);
      }
      events.add(new Event.Answer(id, status, headers, last));
    }
  }

  /**
   * The status of an answer, 0 for trailers; -1 if the headers are malformed (section 8.2, 8.3).
   */
  private static int status(List<Header> headers, boolean trailers) {
    int status = trailers ? 0 : -1;
    boolean plain = false;
    for (Header header : headers) {
      String name = header.getName();
      if (name.startsWith(":")) {
        String value = header.getValue();
        if (plain
            || trailers
            || status >= 0
            || !name.equals(":status")
            || !digits(value, 3)
            || value.charAt(0) < '1'
            || value.charAt(0) > '5'
            || value.equals("101")) {
          return -1;
        }
        status = Integer.parseInt(value);
      } else {
        plain = true;
        if (!isName(name) || isOfConnection(header) || !isValue(header.getValue())) {
          return -1;
        }
      }
    }
    return status;
  }

  private static boolean isName(String name) {
    for (int i = 0; i < name.length(); i++) {
      char c = name.charAt(i);
      if (c <= ' ' || c >= 127 || c >= 'A' && c <= 'Z' || c == ':') {
        return false;
      }
    }
    return !name.isEmpty();
  }

  private static boolean isValue(String value) {
    return value.indexOf(0) < 0 && value.indexOf('\r') < 0 && value.indexOf('\n') < 0;
  }

  private static boolean digits(String text, int most) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return false;
      }
    }
    return !text.isEmpty() && text.length() <= most && (most > 3 || text.length() == most);
  }

  private static boolean isOfConnection(Header header) {
    return switch (header.getName()) {
      case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade" -> true;
      case "te" -> !header.getValue().equals("trailers");
      default -> false;
    };
  }

  /** The length that an answer states, -1 if none, -2 if it is none that can be. */
  private static long length(List<Header> headers) {
    long length = -1;
    for (Header header : headers) {
      if (header.getName().equals("content-length")) {
        if (length != -1 || !digits(header.getValue(), 12)) {
          return -2;
        }
        length = Long.parseLong(header.getValue());
      }
    }
    return length;
  }

  private void reset(Frame frame) {
    need(frame.stream() != 0, "a reset of no stream");
    need(!idle(frame.stream()), "a reset of an idle stream");
    size(frame.payload().length == 4, "a reset");
    Stream stream = streams.get(frame.stream());
    if (stream == null) {
      bother();
      return;
    }
    bother();
    ErrorCode code = ErrorCode.of((int) frame.number(0));
    remove(stream);
    events.add(
        new Event.Ended(
            stream.id,
            code == ErrorCode.REFUSED_STREAM && !stream.answered
                ? StreamTermination.REFUSED
                : stream.answered
                    ? StreamTermination.RESET_IN_ANSWER
                    : StreamTermination.RESET_BEFORE_ANSWER,
            code));
  }

  private void settings(Frame frame) {
    need(frame.stream() == 0, "settings on a stream");
    if (frame.has(Frame.ACK)) {
      size(frame.payload().length == 0, "settings that are a receipt");
      bother();
      return;
    }
    size(frame.payload().length % 6 == 0, "settings");
    if (settingsSeen) {
      bother();
    }
    settingsSeen = true;
    for (int at = 0; at < frame.payload().length; at += 6) {
      int name = (frame.payload()[at] & 255) << 8 | frame.payload()[at + 1] & 255;
      set(name, frame.number(at + 2));
    }
    writer.frame(Frame.SETTINGS, Frame.ACK, 0);
    events.add(new Event.Limits(peerStreamsMost));
    pump();
  }

  private void set(int name, long value) {
    switch (name) {
      case Frame.SETTINGS_HEADER_TABLE_SIZE ->
          writer.tableMost((int) Math.min(Integer.MAX_VALUE, value));
      case Frame.SETTINGS_ENABLE_PUSH -> need(value == 0, "an engine that enables push");
      case Frame.SETTINGS_MAX_CONCURRENT_STREAMS -> peerStreamsMost = value;
      case Frame.SETTINGS_INITIAL_WINDOW_SIZE -> {
        if (value > WINDOW_MOST) {
          throw new Http2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "a window too large");
        }
        long change = value - peerWindowAtStart;
        peerWindowAtStart = value;
        for (Stream stream : streams.values()) {
          stream.sendWindow += change;
          if (stream.sendWindow > WINDOW_MOST) {
            throw new Http2ConnectionError(
                ErrorCode.FLOW_CONTROL_ERROR, "a window grown too large");
          }
        }
      }
      case Frame.SETTINGS_MAX_FRAME_SIZE -> {
        need(value >= Frame.FRAME_AT_START && value < 1 << 24, "a frame size out of range");
        peerFrameMost = Frame.FRAME_AT_START;
      }
      case Frame.SETTINGS_MAX_HEADER_LIST_SIZE -> peerListMost = value;
      // Unknown settings are passed over (section 6.5.2).
      default -> {}
    }
  }

  private void pinged(Frame frame) {
    need(frame.stream() == 0, "a ping on a stream");
    size(frame.payload().length == 8, "a ping");
    if (frame.has(Frame.ACK) && pinging && (frame.number(0) << 32 | frame.number(4)) == pings) {
      pinging = false;
      events.add(new Event.Pong());
      return;
    }
    bother();
    if (!frame.has(Frame.ACK)) {
      writer.frame(Frame.PING, Frame.ACK, 0, frame.payload(), 0, 8);
    }
  }

  /** The last id may fall with a further GOAWAY, never rise (section 6.8). */
  private void leaving(Frame frame) {
    need(frame.stream() == 0, "a GOAWAY on a stream");
    size(frame.payload().length >= 8, "a GOAWAY");
    bother();
    int last = frame.id(0);
    need(last <= lastTaken || lastTaken == Integer.MAX_VALUE, "a GOAWAY whose id rises");
    ErrorCode code = ErrorCode.of((int) frame.number(4));
    // 2^31-1 is the first step of a graceful end: no id is that high, so nothing is given up yet,
    // yet nothing new
    // is sent; an id one lower stands for it.
    lastTaken = Math.min(last, Integer.MAX_VALUE - 1);
    for (Stream stream : List.copyOf(streams.values())) {
      if (stream.id > last) {
        remove(stream);
        events.add(new Event.Ended(stream.id, StreamTermination.ABOVE_GOAWAY, code));
      }
    }
    events.add(new Event.Leaving(last, code));
  }

  private void opened(Frame frame) {
    size(frame.payload().length == 4, "a window update");
    int more = frame.id(0);
    if (frame.stream() == 0) {
      need(more > 0, "a window update of nothing");
      sendWindow += more;
      if (sendWindow > WINDOW_MOST) {
        throw new Http2ConnectionError(
            ErrorCode.FLOW_CONTROL_ERROR, "the connection's window overflows");
      }
      bother();
      pump();
      return;
    }
    need(!idle(frame.stream()), "a window update on an idle stream");
    Stream stream = streams.get(frame.stream());
    bother();
    if (stream == null) {
      return;
    }
    stream.sendWindow += more;
    if (more == 0 || stream.sendWindow > WINDOW_MOST) {
      streamFault(stream.id, more == 0 ? ErrorCode.PROTOCOL_ERROR : ErrorCode.FLOW_CONTROL_ERROR);
    } else {
      pump();
    }
  }

  // ---- streams ----

  /**
   * What each stream still has to send goes out a frame at a time, in turn, as far as both windows
   * reach.
   */
  private void pump() {
    boolean any = sending > 0 && sendWindow > 0;
    while (any) {
      any = false;
      for (Iterator<Stream> i = streams.values().iterator(); i.hasNext() && sendWindow > 0; ) {
        Stream stream = i.next();
        if (stream.body == null || stream.sendWindow <= 0) {
          continue;
        }
        int length =
            (int)
                Math.min(
                    Math.min(sendWindow, stream.sendWindow),
                    Math.min(peerFrameMost, stream.body.length - stream.sent));
        boolean last = stream.sent + length == stream.body.length;
        writer.frame(
            Frame.DATA, last ? Frame.END_STREAM : 0, stream.id, stream.body, stream.sent, length);
        sendWindow -= length;
        stream.sendWindow -= length;
        stream.sent += length;
        any = true;
        if (last) {
          stream.body = null;
          sending--;
          justSent.add(stream.id);
        }
      }
      any &= sending > 0;
    }
  }

  private void remove(Stream stream) {
    streams.remove(stream.id);
    if (stream.body != null) {
      stream.body = null;
      sending--;
    }
  }

  /**
   * The peer has said its last word. If our request was not wholly sent, the rest is not (section
   * 8.1).
   */
  private void finish(Stream stream) {
    if (!stream.whole()) {
      writer.reset(stream.id, ErrorCode.NO_ERROR);
    }
    remove(stream);
    done.add(stream.id);
    if (done.size() > DONE_KEPT) {
      done.poll();
    }
  }

  private void garbled(Stream stream) {
    writer.reset(stream.id, ErrorCode.PROTOCOL_ERROR);
    remove(stream);
    events.add(new Event.Ended(stream.id, StreamTermination.GARBLED, ErrorCode.PROTOCOL_ERROR));
  }

  private void streamFault(int id, ErrorCode code) {
    Stream stream = streams.get(id);
    if (stream == null) {
      bother();
      return;
    }
    writer.reset(id, code);
    remove(stream);
    events.add(new Event.Ended(id, StreamTermination.GARBLED, code));
  }

  private void fail(ErrorCode code, String why) {
    broken = true;
    writer.goAway(0, code);
    events.add(new Event.Broken(code, why));
  }
}
