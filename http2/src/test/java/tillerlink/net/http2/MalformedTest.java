package tillerlink.net.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests that malformed input ends the stream alone or the whole connection, as RFC 9113 demands.
 * Two streams are open.
 */
class MalformedTest {
  private final StringBuilder reactions = new StringBuilder();

  private void printReaction(String section, String inputName, Consumer<Peer> input) {
    Peer peer = new Peer();
    Http2ClientConnection connection = Peer.connected(peer, 2);
    input.accept(peer);
    String events = peer.sendTo(connection);
    reactions
        .append(section)
        .append(' ')
        .append(inputName)
        .append(": ")
        .append(events.isEmpty() ? "nothing" : events)
        .append(" / ")
        .append(peer.receivedFrames(connection))
        .append('\n');
  }

  @Test
  void malformedInputEndsStreamOrConnection() {
    printReaction("4.1", "frame of unknown type", peer -> peer.raw(77, 255, 1, 1, 2, 3));
    printReaction(
        "4.2",
        "oversized frame",
        peer -> peer.writer.frame(Frame.DATA, 0, 1, new byte[16_385], 0, 16_385));
    printReaction(
        "4.3",
        "undecodable header block",
        peer -> peer.raw(Frame.HEADERS, 4, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff));
    printReaction(
        "4.3",
        "interrupted header block",
        peer -> peer.raw(Frame.HEADERS, 0, 1).raw(Frame.PING, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0));
    printReaction("5.1", "DATA on idle stream", peer -> peer.data(9, "x", false));
    printReaction("5.1", "HEADERS on server-initiated stream", peer -> peer.response(2, 200, true));
    printReaction(
        "5.1", "DATA after END_STREAM", peer -> peer.response(1, 200, true).data(1, "x", false));
    printReaction(
        "5.1",
        "HEADERS after END_STREAM",
        peer -> peer.response(1, 200, true).response(1, 200, true));
    printReaction("6.1", "DATA on stream 0", peer -> peer.data(0, "x", false));
    printReaction(
        "6.1",
        "padding longer than payload",
        peer -> peer.raw(Frame.DATA, Frame.PADDED, 1, 5, 0, 0));
    printReaction(
        "6.1",
        "padded DATA",
        peer ->
            peer.response(1, 200, false).raw(Frame.DATA, Frame.PADDED | 1, 1, 2, 'o', 'k', 0, 0));
    printReaction("6.2", "HEADERS on stream 0", peer -> peer.response(0, 200, true));
    printReaction(
        "6.3", "PRIORITY with invalid size", peer -> peer.raw(Frame.PRIORITY, 0, 1, 0, 0));
    printReaction(
        "6.3", "PRIORITY on stream 0", peer -> peer.raw(Frame.PRIORITY, 0, 0, 0, 0, 0, 0, 0));
    printReaction(
        "6.4", "RST_STREAM on idle stream", peer -> peer.writer.reset(9, ErrorCode.CANCEL));
    printReaction(
        "6.4", "RST_STREAM with invalid size", peer -> peer.raw(Frame.RST_STREAM, 0, 1, 0, 0, 0));
    printReaction("6.5", "SETTINGS on a stream", peer -> peer.raw(Frame.SETTINGS, 0, 1));
    printReaction(
        "6.5", "SETTINGS with invalid size", peer -> peer.raw(Frame.SETTINGS, 0, 0, 0, 1, 0));
    printReaction(
        "6.5",
        "SETTINGS ACK with payload",
        peer -> peer.raw(Frame.SETTINGS, Frame.ACK, 0, 0, 1, 0, 0, 0, 0));
    printReaction("6.5.2", "push enabled by server", peer -> peer.settings(2, 1));
    printReaction("6.5.2", "initial window too large", peer -> peer.settings(4, -1));
    printReaction("6.5.2", "maximum frame size too small", peer -> peer.settings(5, 100));
    printReaction("6.5.2", "unknown setting", peer -> peer.settings(99, 1));
    printReaction("6.6", "PUSH_PROMISE", peer -> peer.raw(Frame.PUSH_PROMISE, 4, 1, 0, 0, 0, 2));
    printReaction(
        "6.7", "PING on a stream", peer -> peer.raw(Frame.PING, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
    printReaction("6.7", "PING with invalid size", peer -> peer.raw(Frame.PING, 0, 0, 1));
    printReaction(
        "6.8", "GOAWAY on a stream", peer -> peer.raw(Frame.GOAWAY, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
    printReaction("6.8", "GOAWAY with invalid size", peer -> peer.raw(Frame.GOAWAY, 0, 0, 0));
    printReaction(
        "6.9",
        "stream WINDOW_UPDATE of 0",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 1, 0));
    printReaction(
        "6.9",
        "connection WINDOW_UPDATE of 0",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 0, 0));
    printReaction(
        "6.9",
        "WINDOW_UPDATE with invalid size",
        peer -> peer.raw(Frame.WINDOW_UPDATE, 0, 1, 0, 0));
    printReaction(
        "6.9.1",
        "stream window overflow",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 1, Integer.MAX_VALUE));
    printReaction(
        "6.9.1",
        "connection window overflow",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 0, Integer.MAX_VALUE));
    printReaction(
        "6.9.1",
        "DATA beyond stream window",
        peer -> {
          peer.response(1, 200, false);
          for (int i = 0; i < 5; i++) {
            peer.data(1, "x".repeat(16_000), false);
          }
        });
    printReaction(
        "6.10", "CONTINUATION without HEADERS", peer -> peer.raw(Frame.CONTINUATION, 4, 1));
    printReaction("8.1", "DATA before HEADERS", peer -> peer.data(1, "x", false));
    printReaction(
        "8.1.1",
        "body longer than content-length",
        peer -> peer.response(1, 200, false, "content-length", "1").data(1, "xy", true));
    printReaction(
        "8.1.1",
        "body shorter than content-length",
        peer -> peer.response(1, 200, false, "content-length", "3").data(1, "xy", true));
    printReaction(
        "8.1.1",
        "invalid content-length",
        peer -> peer.response(1, 200, false, "content-length", "-3"));
    printReaction(
        "8.1",
        "trailers",
        peer -> peer.response(1, 200, false).data(1, "x", false).raw(Frame.HEADERS, 5, 1));
    printReaction(
        "8.1",
        "HEADERS within body",
        peer -> peer.response(1, 200, false).raw(Frame.HEADERS, 4, 1));
    printReaction("8.1", "interim response with END_STREAM", peer -> peer.response(1, 103, true));
    printReaction(
        "8.2.1", "header name in upper case", peer -> peer.response(1, 200, true, "Upper", "x"));
    printReaction(
        "8.2.2",
        "connection-specific header",
        peer -> peer.response(1, 200, true, "connection", "close"));
    printReaction("8.3.2", "missing status", peer -> peer.raw(Frame.HEADERS, 5, 1));
    printReaction("8.3.2", "invalid status", peer -> peer.response(1, 99, true));
    printReaction(
        "8.3", "duplicate pseudo-header", peer -> peer.response(1, 200, true, ":status", "200"));
    printReaction("8.6", "status 101", peer -> peer.response(1, 101, true));
    assertEquals(
        """
        4.1 frame of unknown type: nothing /\s
        4.2 oversized frame: connection-error:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        4.3 undecodable header block: connection-error:COMPRESSION_ERROR / GOAWAY:COMPRESSION_ERROR
        4.3 interrupted header block: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        5.1 DATA on idle stream: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        5.1 HEADERS on server-initiated stream: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        5.1 DATA after END_STREAM: response1:200. connection-error:STREAM_CLOSED / GOAWAY:STREAM_CLOSED
        5.1 HEADERS after END_STREAM: response1:200. connection-error:STREAM_CLOSED / GOAWAY:STREAM_CLOSED
        6.1 DATA on stream 0: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.1 padding longer than payload: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.1 padded DATA: response1:200 body1:ok. /\s
        6.2 HEADERS on stream 0: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.3 PRIORITY with invalid size: ended1:GARBLED / RST1:FRAME_SIZE_ERROR
        6.3 PRIORITY on stream 0: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.4 RST_STREAM on idle stream: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.4 RST_STREAM with invalid size: connection-error:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.5 SETTINGS on a stream: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.5 SETTINGS with invalid size: connection-error:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.5 SETTINGS ACK with payload: connection-error:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.5.2 push enabled by server: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.5.2 initial window too large: connection-error:FLOW_CONTROL_ERROR / GOAWAY:FLOW_CONTROL_ERROR
        6.5.2 maximum frame size too small: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.5.2 unknown setting: limit=none / ACK
        6.6 PUSH_PROMISE: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.7 PING on a stream: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.7 PING with invalid size: connection-error:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.8 GOAWAY on a stream: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.8 GOAWAY with invalid size: connection-error:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.9 stream WINDOW_UPDATE of 0: ended1:GARBLED / RST1:PROTOCOL_ERROR
        6.9 connection WINDOW_UPDATE of 0: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.9 WINDOW_UPDATE with invalid size: connection-error:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.9.1 stream window overflow: ended1:GARBLED / RST1:FLOW_CONTROL_ERROR
        6.9.1 connection window overflow: connection-error:FLOW_CONTROL_ERROR / GOAWAY:FLOW_CONTROL_ERROR
        """,
        reactions.substring(0, reactions.indexOf("6.9.1 DATA beyond")));
    String rest =
        reactions
            .substring(reactions.indexOf("6.9.1 DATA beyond"))
            .replaceAll("body1:x{100,}", "body1:x*");
    assertEquals(
        """
        6.9.1 DATA beyond stream window: response1:200 body1:x* body1:x* body1:x* body1:x* ended1:GARBLED / RST1:FLOW_CONTROL_ERROR
        6.10 CONTINUATION without HEADERS: connection-error:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        8.1 DATA before HEADERS: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1.1 body longer than content-length: response1:200 ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1.1 body shorter than content-length: response1:200 ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1.1 invalid content-length: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1 trailers: response1:200 body1:x body1:. /\s
        8.1 HEADERS within body: response1:200 ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1 interim response with END_STREAM: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.2.1 header name in upper case: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.2.2 connection-specific header: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.3.2 missing status: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.3.2 invalid status: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.3 duplicate pseudo-header: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.6 status 101: ended1:GARBLED / RST1:PROTOCOL_ERROR
        """,
        rest);
  }

  /**
   * Guards against unlimited work and memory: a flood ends its connection or stream after bounded
   * work, and nothing is stored for it meanwhile.
   */
  @Test
  void floodsEndTheConnectionOrStream() {
    String[] names = {
      "settings",
      "pings",
      "resets",
      "empty data",
      "unknown frames",
      "window updates",
      "continuations",
      "interims"
    };
    StringBuilder results = new StringBuilder();
    for (String name : names) {
      Peer peer = new Peer();
      Http2ClientConnection connection = Peer.connected(peer, 2);
      int sentFrames = 0;
      String events = "";
      while (sentFrames < 20_000
          && !events.contains("connection-error")
          && !events.contains("ended1")) {
        sentFrames++;
        switch (name) {
          case "settings" -> peer.settings(3, sentFrames);
          case "pings" -> peer.writer.frame(Frame.PING, 0, 0, 1, sentFrames);
          case "resets" -> peer.writer.reset(1, ErrorCode.CANCEL);
          case "empty data" ->
              (sentFrames == 1 ? peer.response(3, 200, false) : peer).data(3, "", false);
          case "unknown frames" -> peer.raw(88, 0, 0, 1);
          case "window updates" -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 0, 1);
          case "continuations" ->
              peer.raw(sentFrames == 1 ? Frame.HEADERS : Frame.CONTINUATION, 0, 1, 0);
          default -> peer.response(1, 103, false);
        }
        if (sentFrames == 1 && name.equals("resets")) {
          peer.sendTo(connection);
          continue;
        }
        events = peer.sendTo(connection);
        peer.receivedFrames(connection);
      }
      results
          .append(name)
          .append(" after ")
          .append(sentFrames)
          .append(": ")
          .append(events)
          .append('\n');
      assertTrue(sentFrames < 20_000, name);
    }
    assertEquals(
        """
        settings after 1001: connection-error:ENHANCE_YOUR_CALM
        pings after 1001: connection-error:ENHANCE_YOUR_CALM
        resets after 1001: connection-error:ENHANCE_YOUR_CALM
        empty data after 1001: connection-error:ENHANCE_YOUR_CALM
        unknown frames after 1001: connection-error:ENHANCE_YOUR_CALM
        window updates after 1001: connection-error:ENHANCE_YOUR_CALM
        continuations after 10: connection-error:ENHANCE_YOUR_CALM
        interims after 1001: ended1:GARBLED
        """,
        results.toString());
  }

  @Test
  void headerListThatExpandsWhenDecodedEndsConnection() {
    Peer peer = new Peer();
    Http2ClientConnection connection = Peer.connected(peer, 2);
    // A long header is added to the compression table and then referenced by one byte per copy.
    byte[] bomb = new byte[6000];
    int length = 0;
    bomb[length++] = 0x40;
    bomb[length++] = 1;
    bomb[length++] = 'a';
    bomb[length++] = 127;
    bomb[length++] = (byte) 0xff;
    bomb[length++] = 6;
    for (int i = 0; i < 1022; i++) {
      bomb[length++] = 'x';
    }
    while (length < bomb.length) {
      bomb[length++] = (byte) 0xbe;
    }
    peer.writer.frame(Frame.HEADERS, Frame.END_HEADERS, 1, bomb, 0, bomb.length);
    assertTrue(peer.sendTo(connection).startsWith("connection-error:"));
  }
}
