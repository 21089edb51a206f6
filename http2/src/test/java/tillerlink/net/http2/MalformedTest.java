package tillerlink.net.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Malformed input ends what RFC 9113 demands: the stream alone, or the connection. Two streams are
 * open.
 */
class MalformedTest {
  private final StringBuilder printed = new StringBuilder();

  private void printReaction(String section, String what, Consumer<Peer> input) {
    Peer peer = new Peer();
    Http2ClientConnection connection = Peer.connected(peer, 2);
    input.accept(peer);
    String events = peer.sendTo(connection);
    printed
        .append(section)
        .append(' ')
        .append(what)
        .append(": ")
        .append(events.isEmpty() ? "nothing" : events)
        .append(" / ")
        .append(peer.receivedFrames(connection))
        .append('\n');
  }

  @Test
  void bySection() {
    printReaction("4.1", "an unknown frame", peer -> peer.raw(77, 255, 1, 1, 2, 3));
    printReaction(
        "4.2",
        "a frame too long",
        peer -> peer.writer.frame(Frame.DATA, 0, 1, new byte[16_385], 0, 16_385));
    printReaction(
        "4.3",
        "headers that can't be decoded",
        peer -> peer.raw(Frame.HEADERS, 4, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff));
    printReaction(
        "4.3",
        "a block interrupted",
        peer -> peer.raw(Frame.HEADERS, 0, 1).raw(Frame.PING, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0));
    printReaction("5.1", "data on an idle stream", peer -> peer.data(9, "x", false));
    printReaction("5.1", "headers on a stream of the peer's", peer -> peer.response(2, 200, true));
    printReaction(
        "5.1", "data after the end", peer -> peer.response(1, 200, true).data(1, "x", false));
    printReaction(
        "5.1", "headers after the end", peer -> peer.response(1, 200, true).response(1, 200, true));
    printReaction("6.1", "data on no stream", peer -> peer.data(0, "x", false));
    printReaction(
        "6.1", "more padding than frame", peer -> peer.raw(Frame.DATA, Frame.PADDED, 1, 5, 0, 0));
    printReaction(
        "6.1",
        "padded data",
        peer ->
            peer.response(1, 200, false).raw(Frame.DATA, Frame.PADDED | 1, 1, 2, 'o', 'k', 0, 0));
    printReaction("6.2", "headers on no stream", peer -> peer.response(0, 200, true));
    printReaction(
        "6.3", "a priority of a wrong size", peer -> peer.raw(Frame.PRIORITY, 0, 1, 0, 0));
    printReaction(
        "6.3", "a priority on no stream", peer -> peer.raw(Frame.PRIORITY, 0, 0, 0, 0, 0, 0, 0));
    printReaction(
        "6.4", "a reset of an idle stream", peer -> peer.writer.reset(9, ErrorCode.CANCEL));
    printReaction(
        "6.4", "a reset of a wrong size", peer -> peer.raw(Frame.RST_STREAM, 0, 1, 0, 0, 0));
    printReaction("6.5", "settings on a stream", peer -> peer.raw(Frame.SETTINGS, 0, 1));
    printReaction(
        "6.5", "settings of a wrong size", peer -> peer.raw(Frame.SETTINGS, 0, 0, 0, 1, 0));
    printReaction(
        "6.5",
        "a receipt with settings",
        peer -> peer.raw(Frame.SETTINGS, Frame.ACK, 0, 0, 1, 0, 0, 0, 0));
    printReaction("6.5.2", "push enabled by an engine", peer -> peer.settings(2, 1));
    printReaction("6.5.2", "a window too large", peer -> peer.settings(4, -1));
    printReaction("6.5.2", "a frame size too small", peer -> peer.settings(5, 100));
    printReaction("6.5.2", "an unknown setting", peer -> peer.settings(99, 1));
    printReaction("6.6", "a push", peer -> peer.raw(Frame.PUSH_PROMISE, 4, 1, 0, 0, 0, 2));
    printReaction(
        "6.7", "a ping on a stream", peer -> peer.raw(Frame.PING, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
    printReaction("6.7", "a ping of a wrong size", peer -> peer.raw(Frame.PING, 0, 0, 1));
    printReaction(
        "6.8",
        "a GOAWAY on a stream",
        peer -> peer.raw(Frame.GOAWAY, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
    printReaction("6.8", "a GOAWAY of a wrong size", peer -> peer.raw(Frame.GOAWAY, 0, 0, 0));
    printReaction(
        "6.9",
        "a window grown by nothing",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 1, 0));
    printReaction(
        "6.9",
        "the connection's grown by nothing",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 0, 0));
    printReaction(
        "6.9", "an update of a wrong size", peer -> peer.raw(Frame.WINDOW_UPDATE, 0, 1, 0, 0));
    printReaction(
        "6.9.1",
        "a stream's window overflows",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 1, Integer.MAX_VALUE));
    printReaction(
        "6.9.1",
        "the connection's window overflows",
        peer -> peer.writer.frame(Frame.WINDOW_UPDATE, 0, 0, Integer.MAX_VALUE));
    printReaction(
        "6.9.1",
        "more data than a window lets through",
        peer -> {
          peer.response(1, 200, false);
          for (int i = 0; i < 5; i++) {
            peer.data(1, "x".repeat(16_000), false);
          }
        });
    printReaction("6.10", "a continuation of nothing", peer -> peer.raw(Frame.CONTINUATION, 4, 1));
    printReaction("8.1", "data before headers", peer -> peer.data(1, "x", false));
    printReaction(
        "8.1.1",
        "a body longer than stated",
        peer -> peer.response(1, 200, false, "content-length", "1").data(1, "xy", true));
    printReaction(
        "8.1.1",
        "a body shorter than stated",
        peer -> peer.response(1, 200, false, "content-length", "3").data(1, "xy", true));
    printReaction(
        "8.1.1",
        "a length that is none",
        peer -> peer.response(1, 200, false, "content-length", "-3"));
    printReaction(
        "8.1",
        "trailers",
        peer -> peer.response(1, 200, false).data(1, "x", false).raw(Frame.HEADERS, 5, 1));
    printReaction(
        "8.1",
        "headers in the middle",
        peer -> peer.response(1, 200, false).raw(Frame.HEADERS, 4, 1));
    printReaction("8.1", "an interim that ends the stream", peer -> peer.response(1, 103, true));
    printReaction("8.2.1", "a name in capitals", peer -> peer.response(1, 200, true, "Upper", "x"));
    printReaction(
        "8.2.2",
        "a header of the connection",
        peer -> peer.response(1, 200, true, "connection", "close"));
    printReaction("8.3.2", "no status", peer -> peer.raw(Frame.HEADERS, 5, 1));
    printReaction("8.3.2", "a status that is none", peer -> peer.response(1, 99, true));
    printReaction(
        "8.3", "a pseudo-header twice", peer -> peer.response(1, 200, true, ":status", "200"));
    printReaction("8.6", "an upgrade", peer -> peer.response(1, 101, true));
    assertEquals(
        """
        4.1 an unknown frame: nothing /\s
        4.2 a frame too long: broken:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        4.3 headers that can't be decoded: broken:COMPRESSION_ERROR / GOAWAY:COMPRESSION_ERROR
        4.3 a block interrupted: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        5.1 data on an idle stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        5.1 headers on a stream of the peer's: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        5.1 data after the end: answer1:200. broken:STREAM_CLOSED / GOAWAY:STREAM_CLOSED
        5.1 headers after the end: answer1:200. broken:STREAM_CLOSED / GOAWAY:STREAM_CLOSED
        6.1 data on no stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.1 more padding than frame: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.1 padded data: answer1:200 body1:ok. /\s
        6.2 headers on no stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.3 a priority of a wrong size: ended1:GARBLED / RST1:FRAME_SIZE_ERROR
        6.3 a priority on no stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.4 a reset of an idle stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.4 a reset of a wrong size: broken:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.5 settings on a stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.5 settings of a wrong size: broken:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.5 a receipt with settings: broken:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.5.2 push enabled by an engine: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.5.2 a window too large: broken:FLOW_CONTROL_ERROR / GOAWAY:FLOW_CONTROL_ERROR
        6.5.2 a frame size too small: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.5.2 an unknown setting: limit=none / ACK
        6.6 a push: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.7 a ping on a stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.7 a ping of a wrong size: broken:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.8 a GOAWAY on a stream: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.8 a GOAWAY of a wrong size: broken:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.9 a window grown by nothing: ended1:GARBLED / RST1:PROTOCOL_ERROR
        6.9 the connection's grown by nothing: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        6.9 an update of a wrong size: broken:FRAME_SIZE_ERROR / GOAWAY:FRAME_SIZE_ERROR
        6.9.1 a stream's window overflows: ended1:GARBLED / RST1:FLOW_CONTROL_ERROR
        6.9.1 the connection's window overflows: broken:FLOW_CONTROL_ERROR / GOAWAY:FLOW_CONTROL_ERROR
        """,
        printed.substring(0, printed.indexOf("6.9.1 more data")));
    String rest =
        printed
            .substring(printed.indexOf("6.9.1 more data"))
            .replaceAll("body1:x{100,}", "body1:x*");
    assertEquals(
        """
        6.9.1 more data than a window lets through: answer1:200 body1:x* body1:x* body1:x* body1:x* ended1:GARBLED / RST1:FLOW_CONTROL_ERROR
        6.10 a continuation of nothing: broken:PROTOCOL_ERROR / GOAWAY:PROTOCOL_ERROR
        8.1 data before headers: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1.1 a body longer than stated: answer1:200 ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1.1 a body shorter than stated: answer1:200 ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1.1 a length that is none: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1 trailers: answer1:200 body1:x body1:. /\s
        8.1 headers in the middle: answer1:200 ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.1 an interim that ends the stream: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.2.1 a name in capitals: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.2.2 a header of the connection: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.3.2 no status: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.3.2 a status that is none: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.3 a pseudo-header twice: ended1:GARBLED / RST1:PROTOCOL_ERROR
        8.6 an upgrade: ended1:GARBLED / RST1:PROTOCOL_ERROR
        """,
        rest);
  }

  /** Floods end the connection after bounded work, and nothing is stored for them meanwhile. */
  @Test
  void floods() {
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
    StringBuilder found = new StringBuilder();
    for (String name : names) {
      Peer peer = new Peer();
      Http2ClientConnection connection = Peer.connected(peer, 2);
      int sentFrames = 0;
      String events = "";
      while (sentFrames < 20_000 && !events.contains("broken") && !events.contains("ended1")) {
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
      found
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
        settings after 1001: broken:ENHANCE_YOUR_CALM
        pings after 1001: broken:ENHANCE_YOUR_CALM
        resets after 1001: broken:ENHANCE_YOUR_CALM
        empty data after 1001: broken:ENHANCE_YOUR_CALM
        unknown frames after 1001: broken:ENHANCE_YOUR_CALM
        window updates after 1001: broken:ENHANCE_YOUR_CALM
        continuations after 10: broken:ENHANCE_YOUR_CALM
        interims after 1001: ended1:GARBLED
        """,
        found.toString());
  }

  @Test
  void aHeaderListThatGrowsWhenItIsDecoded() {
    Peer peer = new Peer();
    Http2ClientConnection connection = Peer.connected(peer, 2);
    // One long header put into the table, then referred to by one byte each time.
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
    assertTrue(peer.sendTo(connection).startsWith("broken:"));
  }
}
