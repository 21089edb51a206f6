package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http2.hpack.HPackDecoder;
import org.apache.hc.core5.http2.hpack.HPackException;
import tillerlink.fakes.EngineCommands.Command;
import tillerlink.fakes.EngineCommands.Word;
import tillerlink.net.http2.ErrorCode;
import tillerlink.net.http2.Frame;
import tillerlink.net.http2.FrameReader;
import tillerlink.net.http2.FrameWriter;
import tillerlink.net.http2.Http2ConnectionError;

/** A fake engine's side of HTTP/2, worded as docs/http2-wire.md says; tests make it misbehave. */
public final class Http2Server implements LineProtocolServer {
  private static final byte[] PREFACE =
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int TABLE = 4096;
  private static final String RUN = "/v1/run/";
  private static final String RESULTS = "/v1/results/";

  /** A stream, and what of its answer waits for a window. */
  private static final class Stream {
    private final int id;
    private Map<String, String> headers = Map.of();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long window;
    private byte[] answer;
    private int sent;

    Stream(int id, long window) {
      this.id = id;
      this.window = window;
    }
  }

  private final FrameReader reader = new FrameReader(PREFACE);
  private final FrameWriter writer = new FrameWriter();
  private final HPackDecoder decoder = new HPackDecoder(TABLE, StandardCharsets.US_ASCII);
  private final Map<Integer, Stream> streams = new LinkedHashMap<>();
  private final Map<String, Integer> byAttempt = new HashMap<>();
  private final List<String> disowned = new ArrayList<>();
  private final ArrayDeque<Command> commands = new ArrayDeque<>();
  private long window = Frame.WINDOW_AT_START;
  private long windowAtStart = Frame.WINDOW_AT_START;
  private ByteArrayOutputStream block;
  private int blockStream;
  private boolean blockLast;
  private int highest;
  private int goneAbove = Integer.MAX_VALUE;

  /** Limits that were told and not yet acknowledged. */
  private final ArrayDeque<Integer> limits = new ArrayDeque<>();

  private int limit = Integer.MAX_VALUE;
  private int overLimit;

  /**
   * @param streamsMost how many streams it lets be open
   */
  public Http2Server(int streamsMost) {
    limit(streamsMost);
  }

  /** Lets so many streams be open from when the peer has acknowledged it. */
  public void limit(int streamsMost) {
    writer.settings(Frame.SETTINGS_MAX_CONCURRENT_STREAMS, streamsMost);
    limits.add(streamsMost);
  }

  /** How often a stream was opened beyond a limit that had been acknowledged. */
  public int overLimit() {
    return overLimit;
  }

  @Override
  public void feed(byte[] bytes) {
    reader.feed(bytes);
  }

  @Override
  public Command next() {
    try {
      for (Frame frame = commands.isEmpty() ? reader.next() : null;
          frame != null;
          frame = commands.isEmpty() ? reader.next() : null) {
        take(frame);
      }
    } catch (Http2ConnectionError | HPackException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
    return commands.poll();
  }

  @Override
  public byte[] owed() {
    return writer.isEmpty() ? new byte[0] : writer.take();
  }

  /** The writer itself, for tests that say what no engine should. */
  public FrameWriter writer() {
    return writer;
  }

  /** The stream of an attempt that is open, or null. */
  public Integer streamOf(String attempt) {
    return byAttempt.get(attempt);
  }

  public int highest() {
    return highest;
  }

  /** Says that streams above an id are not acted on, and does not. */
  public void leave(int last) {
    goneAbove = last;
    writer.goAway(last, ErrorCode.NO_ERROR);
    for (Stream stream : List.copyOf(streams.values())) {
      if (stream.id > last) {
        disown(stream);
      }
    }
  }

  @Override
  public boolean leftBehind(LineProtocolServer sender, String attempt) {
    Integer id = ((Http2Server) sender).byAttempt.get(attempt);
    return id != null && id > goneAbove;
  }

  /** Resets a stream, of which nothing more is said. */
  public void reset(int id, ErrorCode code) {
    writer.reset(id, code);
    Stream stream = streams.get(id);
    if (stream != null) {
      over(stream);
    }
  }

  /** Resets a stream that was never acted on. */
  public void refuse(int id) {
    Stream stream = streams.get(id);
    if (stream != null) {
      writer.reset(id, ErrorCode.REFUSED_STREAM);
      disown(stream);
    }
  }

  private void disown(Stream stream) {
    over(stream);
    String attempt = stream.headers.get("hop-id");
    if (attempt != null) {
      disowned.add(attempt);
    }
  }

  @Override
  public List<String> disowned() {
    List<String> all = List.copyOf(disowned);
    disowned.clear();
    return all;
  }

  private void take(Frame frame) throws HPackException {
    switch (frame.type()) {
      case Frame.SETTINGS -> settings(frame);
      case Frame.PING -> {
        if (!frame.has(Frame.ACK)) {
          writer.frame(Frame.PING, Frame.ACK, 0, frame.payload(), 0, frame.payload().length);
        }
      }
      case Frame.HEADERS -> {
        block = new ByteArrayOutputStream();
        blockStream = frame.stream();
        blockLast = frame.has(Frame.END_STREAM);
        headers(frame, frame.from(), frame.to());
      }
      case Frame.CONTINUATION -> headers(frame, 0, frame.payload().length);
      case Frame.DATA -> data(frame);
      case Frame.WINDOW_UPDATE -> {
        Stream stream = streams.get(frame.stream());
        if (frame.stream() == 0) {
          window += frame.id(0);
        } else if (stream != null) {
          stream.window += frame.id(0);
        }
        pump();
      }
      case Frame.RST_STREAM -> {
        Stream stream = streams.remove(frame.stream());
        if (stream != null) {
          String attempt = stream.headers.getOrDefault("hop-id", "");
          if (byAttempt.remove(attempt, stream.id)) {
            commands.add(new Command(Word.NEVER_MIND, attempt, "", 0, null, 0, new byte[0]));
          }
        }
      }
      default -> {}
    }
  }

  private void settings(Frame frame) {
    if (frame.has(Frame.ACK)) {
      limit = limits.isEmpty() ? limit : limits.poll();
      return;
    }
    for (int at = 0; at + 6 <= frame.payload().length; at += 6) {
      int name = (frame.payload()[at] & 255) << 8 | frame.payload()[at + 1] & 255;
      if (name == Frame.SETTINGS_INITIAL_WINDOW_SIZE) {
        long change = frame.number(at + 2) - windowAtStart;
        windowAtStart += change;
        streams.values().forEach(stream -> stream.window += change);
      }
    }
    writer.frame(Frame.SETTINGS, Frame.ACK, 0);
    pump();
  }

  private void headers(Frame frame, int from, int to) throws HPackException {
    block.write(frame.payload(), from, to - from);
    if (!frame.has(Frame.END_HEADERS)) {
      return;
    }
    List<Header> list = decoder.decodeHeaders(ByteBuffer.wrap(block.toByteArray()));
    highest = Math.max(highest, blockStream);
    if (blockStream > goneAbove) {
      list.stream()
          .filter(header -> header.getName().equals("hop-id"))
          .forEach(header -> disowned.add(header.getValue()));
      return;
    }
    overLimit += streams.size() >= limit ? 1 : 0;
    Stream stream = new Stream(blockStream, windowAtStart);
    stream.headers = new HashMap<>();
    list.forEach(header -> stream.headers.put(header.getName(), header.getValue()));
    streams.put(blockStream, stream);
    if (blockLast) {
      whole(stream);
    }
  }

  private void data(Frame frame) {
    int length = frame.payload().length;
    if (length > 0) {
      writer.frame(Frame.WINDOW_UPDATE, 0, 0, length);
    }
    Stream stream = streams.get(frame.stream());
    if (stream == null) {
      return;
    }
    stream.body.write(frame.payload(), frame.from(), frame.to() - frame.from());
    if (frame.has(Frame.END_STREAM)) {
      whole(stream);
    } else if (length > 0) {
      writer.frame(Frame.WINDOW_UPDATE, 0, stream.id, length);
    }
  }

  /**
   * A request has come whole; one whose body is not as long as it says is malformed and not acted
   * on.
   */
  private void whole(Stream stream) {
    String path = stream.headers.getOrDefault(":path", "");
    String attempt = stream.headers.getOrDefault("hop-id", "");
    String length = stream.headers.get("content-length");
    if (length != null && Integer.parseInt(length) != stream.body.size()) {
      writer.reset(stream.id, ErrorCode.PROTOCOL_ERROR);
      streams.remove(stream.id);
    } else if (path.startsWith(RUN) && !attempt.isEmpty()) {
      byAttempt.put(attempt, stream.id);
      commands.add(
          new Command(
              Word.WANT,
              attempt,
              path.substring(RUN.length()),
              Long.parseLong(stream.headers.getOrDefault("hop-limit-ms", "1")),
              stream.headers.get("idempotency-key"),
              0,
              stream.body.toByteArray()));
    } else if (path.startsWith(RESULTS)) {
      String id = path.substring(RESULTS.length());
      byAttempt.put(id, stream.id);
      String range = stream.headers.getOrDefault("range", "bytes=0-");
      stream.sent = Integer.parseInt(range.substring(6, range.length() - 1));
      commands.add(new Command(Word.TURN, id, "", 0, null, 0, new byte[0]));
    } else {
      status(stream, 404, true);
      streams.remove(stream.id);
    }
  }

  @Override
  public byte[] say(EngineReplies what) {
    Integer id = byAttempt.get(what.id());
    Stream stream = id == null ? null : streams.get(id);
    if (stream == null) {
      return owed();
    }
    switch (what.word()) {
      case OK -> {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(what.body());
        for (int page = 1; page < what.number(); page++) {
          all.writeBytes(Results.page(what.id(), page));
        }
        answer(stream, 200, all.toByteArray());
      }
      case BATCH -> {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int page = 0; page < Results.pages(what.id()); page++) {
          all.writeBytes(Results.page(what.id(), page));
        }
        int from = Math.min(stream.sent, all.size());
        stream.sent = 0;
        answer(stream, 206, Arrays.copyOfRange(all.toByteArray(), from, all.size()));
      }
      case REFUSED -> {
        writer.reset(stream.id, ErrorCode.REFUSED_STREAM);
        over(stream);
      }
      case ERROR -> {
        status(stream, stream.headers.get(":path").startsWith(RESULTS) ? 404 : 500, true);
        over(stream);
      }
      case PROGRESS -> {
        if (stream.answer == null) {
          writer.headers(
              stream.id,
              List.of(
                  new BasicHeader(":status", "102"),
                  new BasicHeader("note-about", about(what.about())),
                  new BasicHeader("note-level", Double.toString(what.level()))),
              false,
              Frame.FRAME_AT_START);
        }
      }
      default -> {}
    }
    return owed();
  }

  private static String about(String word) {
    return switch (word) {
      case "frac" -> "share-done";
      case "missing" -> "megabytes-missing";
      default -> "parked";
    };
  }

  private void over(Stream stream) {
    streams.remove(stream.id);
    byAttempt.values().remove(stream.id);
  }

  private void status(Stream stream, int status, boolean last) {
    writer.headers(
        stream.id,
        List.of(new BasicHeader(":status", Integer.toString(status))),
        last,
        Frame.FRAME_AT_START);
  }

  private void answer(Stream stream, int status, byte[] body) {
    List<Header> headers = new ArrayList<>();
    headers.add(new BasicHeader(":status", Integer.toString(status)));
    headers.add(new BasicHeader("content-type", "text/tab-separated-values"));
    headers.add(new BasicHeader("content-length", Integer.toString(body.length)));
    writer.headers(stream.id, headers, body.length == 0, Frame.FRAME_AT_START);
    if (body.length == 0) {
      over(stream);
    } else {
      stream.answer = body;
      pump();
    }
  }

  /** What waits goes out as far as the windows reach. */
  private void pump() {
    for (Stream stream : List.copyOf(streams.values())) {
      while (stream.answer != null && window > 0 && stream.window > 0) {
        int length =
            (int)
                Math.min(
                    Math.min(window, stream.window),
                    Math.min(Frame.FRAME_AT_START, stream.answer.length - stream.sent));
        boolean last = stream.sent + length == stream.answer.length;
        writer.frame(
            Frame.DATA, last ? Frame.END_STREAM : 0, stream.id, stream.answer, stream.sent, length);
        window -= length;
        stream.window -= length;
        stream.sent += length;
        if (last) {
          stream.answer = null;
          over(stream);
        }
      }
    }
  }
}
