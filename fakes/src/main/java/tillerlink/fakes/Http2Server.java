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
import org.apache.hc.core5.http2.hpack.HPackDecoder;
import org.apache.hc.core5.http2.hpack.HPackException;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.fakes.EngineCommandParser.Word;
import tillerlink.net.http2.ErrorCode;
import tillerlink.net.http2.Frame;
import tillerlink.net.http2.FrameReader;
import tillerlink.net.http2.FrameWriter;
import tillerlink.net.http2.Http2ConnectionError;

/**
 * A fake engine's end of one HTTP/2 connection, as docs/http2-wire.md specifies it. Tests can make
 * it violate the protocol.
 */
public final class Http2Server implements EngineProtocolServer {
  private static final byte[] PREFACE =
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final String RANGE_UNIT = "bytes=";
  private static final int HEADER_TABLE_BYTES = 4096;
  private static final int SETTING_BYTES = 6;
  private static final String RUN_PATH = "/v1/run/";
  private static final String RESULTS_PATH = "/v1/results/";

  private final FrameReader reader = new FrameReader(PREFACE);
  private final FrameWriter writer = new FrameWriter();
  private final HPackDecoder decoder =
      new HPackDecoder(HEADER_TABLE_BYTES, StandardCharsets.US_ASCII);
  private final Map<Integer, Http2ServerStream> streams = new LinkedHashMap<>();
  private final Map<String, Integer> byAttempt = new HashMap<>();
  private final List<String> notExecuted = new ArrayList<>();
  private final ArrayDeque<Command> commands = new ArrayDeque<>();
  private final Http2ResponseWriter responses = new Http2ResponseWriter(writer, this::closeStream);
  private long initialWindow = Frame.WINDOW_AT_START;
  private ByteArrayOutputStream headerBlock;
  private int headerBlockStream;
  private boolean headerBlockEndsStream;
  private int highestStream;
  private int goAwayLastStream = Integer.MAX_VALUE;

  /** Limits on open streams that were sent and are not yet acknowledged, oldest first. */
  private final ArrayDeque<Integer> unacknowledgedLimits = new ArrayDeque<>();

  private int streamLimit = Integer.MAX_VALUE;
  private int streamsOverLimit;

  /**
   * Creates the engine's end of a connection.
   *
   * @param maxStreams how many streams may be open at once
   */
  public Http2Server(int maxStreams) {
    limitStreams(maxStreams);
  }

  /**
   * Limits the number of streams that may be open at once. The limit applies once the peer has
   * acknowledged the setting.
   */
  public void limitStreams(int maxStreams) {
    writer.settings(Frame.SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams);
    unacknowledgedLimits.add(maxStreams);
  }

  /** Returns how many streams were opened beyond a limit that had been acknowledged. */
  public int streamsOverLimit() {
    return streamsOverLimit;
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
        handle(frame);
      }
    } catch (Http2ConnectionError | HPackException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
    return commands.poll();
  }

  @Override
  public byte[] takePendingOutput() {
    return writer.isEmpty() ? new byte[0] : writer.take();
  }

  /** Returns the frame writer, for tests that violate the protocol. */
  public FrameWriter writer() {
    return writer;
  }

  /** Returns the id of an attempt's stream, or null if the attempt has no open stream. */
  public Integer streamOf(String attempt) {
    return byAttempt.get(attempt);
  }

  /** Returns the highest id of a stream that was opened. */
  public int highestStream() {
    return highestStream;
  }

  /**
   * Sends GOAWAY, and declares the attempts on all higher streams as not executed.
   *
   * @param last the highest id of a stream that is still processed
   */
  public void goAway(int last) {
    goAwayLastStream = last;
    writer.goAway(last, ErrorCode.NO_ERROR);
    for (Http2ServerStream stream : List.copyOf(streams.values())) {
      if (stream.id > last) {
        declareNotExecuted(stream);
      }
    }
  }

  @Override
  public boolean isBeyondGoAway(EngineProtocolServer sender, String attempt) {
    Integer id = ((Http2Server) sender).byAttempt.get(attempt);
    return id != null && id > goAwayLastStream;
  }

  /** Resets a stream. Nothing more is written on it. */
  public void reset(int id, ErrorCode code) {
    writer.reset(id, code);
    Http2ServerStream stream = streams.get(id);
    if (stream != null) {
      closeStream(stream);
    }
  }

  /** Refuses a stream whose request was not processed, and declares its attempt as not executed. */
  public void refuse(int id) {
    Http2ServerStream stream = streams.get(id);
    if (stream != null) {
      writer.reset(id, ErrorCode.REFUSED_STREAM);
      declareNotExecuted(stream);
    }
  }

  private void declareNotExecuted(Http2ServerStream stream) {
    closeStream(stream);
    String attempt = stream.header(Http2ServerStream.ATTEMPT_HEADER);
    if (attempt != null) {
      notExecuted.add(attempt);
    }
  }

  @Override
  public List<String> takeNotExecuted() {
    List<String> taken = List.copyOf(notExecuted);
    notExecuted.clear();
    return taken;
  }

  private void handle(Frame frame) throws HPackException {
    switch (frame.type()) {
      case Frame.SETTINGS -> settings(frame);
      case Frame.PING -> ping(frame);
      case Frame.HEADERS -> {
        headerBlock = new ByteArrayOutputStream();
        headerBlockStream = frame.stream();
        headerBlockEndsStream = frame.has(Frame.END_STREAM);
        headers(frame, frame.from(), frame.to());
      }
      case Frame.CONTINUATION -> headers(frame, 0, frame.payload().length);
      case Frame.DATA -> data(frame);
      case Frame.WINDOW_UPDATE -> windowUpdate(frame);
      case Frame.RST_STREAM -> streamReset(frame);
      default -> {}
    }
  }

  private void ping(Frame frame) {
    if (!frame.has(Frame.ACK)) {
      writer.frame(Frame.PING, Frame.ACK, 0, frame.payload(), 0, frame.payload().length);
    }
  }

  private void windowUpdate(Frame frame) {
    Http2ServerStream stream = streams.get(frame.stream());
    if (frame.stream() == 0) {
      responses.enlargeWindow(frame.id(0));
    } else if (stream != null) {
      stream.window += frame.id(0);
    }
    responses.writePending(streams.values());
  }

  private void streamReset(Frame frame) {
    Http2ServerStream stream = streams.remove(frame.stream());
    if (stream != null && byAttempt.remove(stream.attempt(), stream.id)) {
      commands.add(new Command(Word.NEVER_MIND, stream.attempt(), "", 0, null, 0, new byte[0]));
    }
  }

  private void settings(Frame frame) {
    if (frame.has(Frame.ACK)) {
      streamLimit = unacknowledgedLimits.isEmpty() ? streamLimit : unacknowledgedLimits.poll();
      return;
    }
    for (int at = 0; at + SETTING_BYTES <= frame.payload().length; at += SETTING_BYTES) {
      int name = (frame.payload()[at] & 255) << 8 | (frame.payload()[at + 1] & 255);
      if (name == Frame.SETTINGS_INITIAL_WINDOW_SIZE) {
        long delta = frame.number(at + 2) - initialWindow;
        initialWindow += delta;
        streams.values().forEach(stream -> stream.window += delta);
      }
    }
    writer.frame(Frame.SETTINGS, Frame.ACK, 0);
    responses.writePending(streams.values());
  }

  private void headers(Frame frame, int from, int to) throws HPackException {
    headerBlock.write(frame.payload(), from, to - from);
    if (!frame.has(Frame.END_HEADERS)) {
      return;
    }
    List<Header> decodedHeaders = decoder.decodeHeaders(ByteBuffer.wrap(headerBlock.toByteArray()));
    highestStream = Math.max(highestStream, headerBlockStream);
    if (headerBlockStream > goAwayLastStream) {
      decodedHeaders.stream()
          .filter(header -> header.getName().equals(Http2ServerStream.ATTEMPT_HEADER))
          .forEach(header -> notExecuted.add(header.getValue()));
      return;
    }
    streamsOverLimit += streams.size() >= streamLimit ? 1 : 0;
    Http2ServerStream stream =
        new Http2ServerStream(headerBlockStream, initialWindow, decodedHeaders);
    streams.put(headerBlockStream, stream);
    if (headerBlockEndsStream) {
      onRequestComplete(stream);
    }
  }

  private void data(Frame frame) {
    int length = frame.payload().length;
    if (length > 0) {
      writer.frame(Frame.WINDOW_UPDATE, 0, 0, length);
    }
    Http2ServerStream stream = streams.get(frame.stream());
    if (stream == null) {
      return;
    }
    stream.requestBody.write(frame.payload(), frame.from(), frame.to() - frame.from());
    if (frame.has(Frame.END_STREAM)) {
      onRequestComplete(stream);
    } else if (length > 0) {
      writer.frame(Frame.WINDOW_UPDATE, 0, stream.id, length);
    }
  }

  /**
   * Turns a complete request into a command. A request whose body differs in length from its
   * content-length header is malformed, so its stream is reset and the request is ignored.
   */
  private void onRequestComplete(Http2ServerStream stream) {
    String path = stream.path();
    String attempt = stream.attempt();
    String length = stream.header("content-length");
    if (length != null && Integer.parseInt(length) != stream.requestBody.size()) {
      writer.reset(stream.id, ErrorCode.PROTOCOL_ERROR);
      streams.remove(stream.id);
    } else if (path.startsWith(RUN_PATH) && !attempt.isEmpty()) {
      byAttempt.put(attempt, stream.id);
      commands.add(
          new Command(
              Word.WANT,
              attempt,
              path.substring(RUN_PATH.length()),
              Long.parseLong(stream.header("hop-limit-ms", "1")),
              stream.header("idempotency-key"),
              0,
              stream.requestBody.toByteArray()));
    } else if (path.startsWith(RESULTS_PATH)) {
      String id = path.substring(RESULTS_PATH.length());
      byAttempt.put(id, stream.id);
      String range = stream.header("range", RANGE_UNIT + "0-");
      stream.sent = Integer.parseInt(range.substring(RANGE_UNIT.length(), range.length() - 1));
      commands.add(new Command(Word.TURN, id, "", 0, null, 0, new byte[0]));
    } else {
      responses.status(stream, 404);
      streams.remove(stream.id);
    }
  }

  @Override
  public byte[] encode(EngineReply reply) {
    Integer id = byAttempt.get(reply.id());
    Http2ServerStream stream = id == null ? null : streams.get(id);
    if (stream != null) {
      write(stream, reply);
    }
    return takePendingOutput();
  }

  private void write(Http2ServerStream stream, EngineReply reply) {
    switch (reply.word()) {
      case OK -> respond(stream, 200, concatenatedPages(reply));
      case BATCH -> {
        byte[] result = Results.allPages(reply.id());
        int from = Math.min(stream.sent, result.length);
        stream.sent = 0;
        respond(stream, 206, Arrays.copyOfRange(result, from, result.length));
      }
      case REFUSED -> {
        writer.reset(stream.id, ErrorCode.REFUSED_STREAM);
        closeStream(stream);
      }
      case ERROR -> {
        responses.status(stream, stream.path().startsWith(RESULTS_PATH) ? 404 : 500);
        closeStream(stream);
      }
      case PROGRESS -> {
        if (stream.responseBody == null) {
          responses.progress(stream, reply.about(), reply.level());
        }
      }
      default -> {}
    }
  }

  private static byte[] concatenatedPages(EngineReply reply) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(reply.body());
    for (int page = 1; page < reply.number(); page++) {
      all.writeBytes(Results.page(reply.id(), page));
    }
    return all.toByteArray();
  }

  private void respond(Http2ServerStream stream, int status, byte[] body) {
    responses.start(stream, status, body);
    responses.writePending(streams.values());
  }

  private void closeStream(Http2ServerStream stream) {
    streams.remove(stream.id);
    byAttempt.values().remove(stream.id);
  }
}
