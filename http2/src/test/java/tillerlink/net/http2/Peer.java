package tillerlink.net.http2;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http2.hpack.HPackDecoder;

/** A server-side peer for tests, which sends arbitrary frames and formats those it receives. */
final class Peer {
  final FrameWriter writer = new FrameWriter();
  private final FrameReader reader;
  private final HPackDecoder decoder = new HPackDecoder(4096, StandardCharsets.US_ASCII);
  private final List<String> printed = new ArrayList<>();

  Peer() {
    reader =
        new FrameReader("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the frames received since the last call, formatted and in order. */
  String receivedFrames(Http2ClientConnection connection) {
    reader.feed(connection.takeOutput());
    for (Frame frame = reader.next(); frame != null; frame = reader.next()) {
      printed.add(formatFrame(frame));
    }
    String all = String.join(" ", printed);
    printed.clear();
    return all;
  }

  private String formatFrame(Frame frame) {
    String streamId = frame.stream() == 0 ? "" : Integer.toString(frame.stream());
    String last = frame.has(Frame.END_STREAM) && frame.type() < 2 ? "." : "";
    return switch (frame.type()) {
      case Frame.DATA -> "DATA" + streamId + ":" + frame.payload().length + last;
      case Frame.HEADERS -> "HEADERS" + streamId + last + formatPath(frame);
      case Frame.CONTINUATION -> "CONTINUATION" + streamId;
      case Frame.RST_STREAM -> "RST" + streamId + ":" + ErrorCode.of((int) frame.number(0));
      case Frame.SETTINGS -> frame.has(Frame.ACK) ? "ACK" : "SETTINGS";
      case Frame.PING -> frame.has(Frame.ACK) ? "PONG" : "PING";
      case Frame.GOAWAY -> "GOAWAY:" + ErrorCode.of((int) frame.number(4));
      case Frame.WINDOW_UPDATE -> "WINDOW" + streamId + "+" + frame.id(0);
      default -> "?" + frame.type();
    };
  }

  private String formatPath(Frame frame) {
    if (!frame.has(Frame.END_HEADERS)) {
      return "..";
    }
    try {
      for (Header header : decoder.decodeHeaders(ByteBuffer.wrap(frame.payload()))) {
        if (header.getName().equals(":path")) {
          return header.getValue();
        }
      }
    } catch (org.apache.hc.core5.http2.hpack.HPackException e) {
      return "!";
    }
    return "";
  }

  Peer settings(int... pairs) {
    writer.settings(pairs);
    return this;
  }

  Peer response(int stream, int status, boolean last, String... moreHeaders) {
    List<Header> headers =
        new ArrayList<>(List.of(new BasicHeader(":status", Integer.toString(status))));
    for (int i = 0; i < moreHeaders.length; i += 2) {
      headers.add(new BasicHeader(moreHeaders[i], moreHeaders[i + 1]));
    }
    writer.headers(stream, headers, last, Frame.FRAME_AT_START);
    return this;
  }

  Peer raw(int type, int flags, int stream, int... bytes) {
    byte[] payload = new byte[bytes.length];
    for (int i = 0; i < bytes.length; i++) {
      payload[i] = (byte) bytes[i];
    }
    writer.frame(type, flags, stream, payload, 0, payload.length);
    return this;
  }

  Peer data(int stream, String body, boolean last) {
    byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
    writer.frame(Frame.DATA, last ? Frame.END_STREAM : 0, stream, bytes, 0, bytes.length);
    return this;
  }

  /** Feeds the written frames to the connection and returns its events, formatted. */
  String sendTo(Http2ClientConnection connection) {
    connection.feed(writer.take());
    return events(connection);
  }

  static String events(Http2ClientConnection connection) {
    List<String> all = new ArrayList<>();
    for (Event event = connection.poll(); event != null; event = connection.poll()) {
      if (event instanceof Event.SettingsReceived settings) {
        all.add(
            "limit="
                + (settings.maxConcurrentStreams() == Long.MAX_VALUE
                    ? "none"
                    : settings.maxConcurrentStreams()));
      } else if (event instanceof Event.InterimResponse interim) {
        all.add("interim" + interim.streamId());
      } else if (event instanceof Event.Response response) {
        all.add(
            "response"
                + response.streamId()
                + ":"
                + response.status()
                + (response.endStream() ? "." : ""));
      } else if (event instanceof Event.Body body) {
        all.add(
            "body"
                + body.streamId()
                + ":"
                + new String(body.bytes(), StandardCharsets.US_ASCII)
                + (body.endStream() ? "." : ""));
      } else if (event instanceof Event.StreamEnded ended) {
        all.add("ended" + ended.streamId() + ":" + ended.termination());
      } else if (event instanceof Event.GoAwayReceived goAway) {
        all.add("goaway:" + goAway.lastStreamId());
      } else if (event instanceof Event.ConnectionFailed failed) {
        all.add("connection-error:" + failed.code());
      } else {
        all.add("pong");
      }
    }
    return String.join(" ", all);
  }

  /**
   * Returns a connection whose peer has sent its settings, with a number of open streams whose
   * requests have a body of one byte each.
   */
  static Http2ClientConnection connected(Peer peer, int streams) {
    Http2ClientConnection connection = new Http2ClientConnection();
    peer.settings().sendTo(connection);
    for (int i = 0; i < streams; i++) {
      open(connection, "x");
    }
    peer.receivedFrames(connection);
    return connection;
  }

  static int open(Http2ClientConnection connection, String body) {
    return connection.open(
        List.of(new BasicHeader(":method", "POST"), new BasicHeader(":path", "/p")),
        body.getBytes(StandardCharsets.US_ASCII));
  }
}
