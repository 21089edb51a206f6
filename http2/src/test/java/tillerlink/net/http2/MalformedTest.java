package tillerlink.net.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * What RFC 9113 says ends by a malformed input, ends: the stream alone, or the connection. Two
 * streams are open.
 */
class MalformedTest {
  private final StringBuilder printed = new StringBuilder();

  private void says(String section, String what, Consumer<Peer> says) {
    Peer peer = new Peer();
    Http2ClientConnection c = Peer.connected(peer, 2);
    says.accept(peer);
    String events = peer.to(c);
    printed
        .append(section)
        .append(' ')
        .append(what)
        .append(": ")
        .append(events.isEmpty() ? "nothing" : events)
        .append(" / ")
        .append(peer.heard(c))
        .append('\n');
  }

  @Test
  void bySection() {
    says("4.1", "an unknown frame", p -> p.raw(77, 255, 1, 1, 2, 3));
    says(
        "4.2", "a frame too long", p -> p.say.frame(Frame.DATA, 0, 1, new byte[16_385], 0, 16_385));
    says(
        "4.3",
        "headers that can't be decoded",
        p -> p.raw(Frame.HEADERS, 4, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff));
    says(
        "4.3",
        "a block interrupted",
        p -> p.raw(Frame.HEADERS, 0, 1).raw(Frame.PING, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0));
    says("5.1", "data on an idle stream", p -> p.data(9, "x", false));
    says("5.1", "headers on a stream of the peer's", p -> p.answer(2, 200, true));
    says("5.1", "data after the end", p -> p.answer(1, 200, true).data(1, "x", false));
    says("5.1", "headers after the end", p -> p.answer(1, 200, true).answer(1, 200, true));
    says("6.1", "data on no stream", p -> p.data(0, "x", false));
    says("6.1", "more padding than frame", p -> p.raw(Frame.DATA, Frame.PADDED, 1, 5, 0, 0));
    says(
        "6.1",
        "padded data",
        p -> p.answer(1, 200, false).raw(Frame.DATA, Frame.PADDED | 1, 1, 2, 'o', 'k', 0, 0));
    says("6.2", "headers on no stream", p -> p.answer(0, 200, true));
    says("6.3", "a priority of a wrong size", p -> p.raw(Frame.PRIORITY, 0, 1, 0, 0));
    says("6.3", "a priority on no stream", p -> p.raw(Frame.PRIORITY, 0, 0, 0, 0, 0, 0, 0));
    says("6.4", "a reset of an idle stream", p -> p.say.reset(9, ErrorCode.CANCEL));
    says("6.4", "a reset of a wrong size", p -> p.raw(Frame.RST_STREAM, 0, 1, 0, 0, 0));
    says("6.5", "settings on a stream", p -> p.raw(Frame.SETTINGS, 0, 1));
    says("6.5", "settings of a wrong size", p -> p.raw(Frame.SETTINGS, 0, 0, 0, 1, 0));
    says(
        "6.5",
        "a receipt with settings",
        p -> p.raw(Frame.SETTINGS, Frame.ACK, 0, 0, 1, 0, 0, 0, 0));
    says("6.5.2", "push enabled by an engine", p -> p.settings(2, 1));
    says("6.5.2", "a window too large", p -> p.settings(4, -1));
    says("6.5.2", "a frame size too small", p -> p.settings(5, 100));
    says("6.5.2", "an unknown setting", p -> p.settings(99, 1));
    says("6.6", "a push", p -> p.raw(Frame.PUSH_PROMISE, 4, 1, 0, 0, 0, 2));
    says("6.7", "a ping on a stream", p -> p.raw(Frame.PING, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
    says("6.7", "a ping of a wrong size", p -> p.raw(Frame.PING, 0, 0, 1));
    says("6.8", "a GOAWAY on a stream", p -> p.raw(Frame.GOAWAY, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
    says("6.8", "a GOAWAY of a wrong size", p -> p.raw(Frame.GOAWAY, 0, 0, 0));
    says("6.9", "a window grown by nothing", p -> p.say.frame(Frame.WINDOW_UPDATE, 0, 1, 0));
    says(
        "6.9", "the connection's grown by nothing", p -> p.say.frame(Frame.WINDOW_UPDATE, 0, 0, 0));
    says("6.9", "an update of a wrong size", p -> p.raw(Frame.WINDOW_UPDATE, 0, 1, 0, 0));
    says(
        "6.9.1",
        "a stream's window overflows",
        p -> p.say.frame(Frame.WINDOW_UPDATE, 0, 1, Integer.MAX_VALUE));
    says(
        "6.9.1",
        "the connection's window overflows",
        p -> p.say.frame(Frame.WINDOW_UPDATE, 0, 0, Integer.MAX_VALUE));
    says(
        "6.9.1",
        "more data than a window lets through",
        p -> {
          p.answer(1, 200, false);
          for (int i = 0; i < 5; i++) {
            p.data(1, "x".repeat(16_000), false);
          }
        });
    says("6.10", "a continuation of nothing", p -> p.raw(Frame.CONTINUATION, 4, 1));
    says("8.1", "data before headers", p -> p.data(1, "x", false));
    says(
        "8.1.1",
        "a body longer than stated",
        p -> p.answer(1, 200, false, "content-length", "1").data(1, "xy", true));
    says(
        "8.1.1",
        "a body shorter than stated",
        p -> p.answer(1, 200, false, "content-length", "3").data(1, "xy", true));
    says("8.1.1", "a length that is none", p -> p.answer(1, 200, false, "content-length", "-3"));
    says(
        "8.1",
        "trailers",
        p -> p.answer(1, 200, false).data(1, "x", false).raw(Frame.HEADERS, 5, 1));
    says("8.1", "headers in the middle", p -> p.answer(1, 200, false).raw(Frame.HEADERS, 4, 1));
    says("8.1", "an interim that ends the stream", p -> p.answer(1, 103, true));
    says("8.2.1", "a name in capitals", p -> p.answer(1, 200, true, "Upper", "x"));
    says("8.2.2", "a header of the connection", p -> p.answer(1, 200, true, "connection", "close"));
    says("8.3.2", "no status", p -> p.raw(Frame.HEADERS, 5, 1));
    says("8.3.2", "a status that is none", p -> p.answer(1, 99, true));
    says("8.3", "a pseudo-header twice", p -> p.answer(1, 200, true, ":status", "200"));
    says("8.6", "an upgrade", p -> p.answer(1, 101, true));
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

  /** Floods end the connection after bounded work, and while they last nothing is kept for them. */
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
      Http2ClientConnection c = Peer.connected(peer, 2);
      int said = 0;
      String events = "";
      while (said < 20_000 && !events.contains("broken") && !events.contains("ended1")) {
        said++;
        switch (name) {
          case "settings" -> peer.settings(3, said);
          case "pings" -> peer.say.frame(Frame.PING, 0, 0, 1, said);
          case "resets" -> peer.say.reset(1, ErrorCode.CANCEL);
          case "empty data" -> (said == 1 ? peer.answer(3, 200, false) : peer).data(3, "", false);
          case "unknown frames" -> peer.raw(88, 0, 0, 1);
          case "window updates" -> peer.say.frame(Frame.WINDOW_UPDATE, 0, 0, 1);
          case "continuations" -> peer.raw(said == 1 ? Frame.HEADERS : Frame.CONTINUATION, 0, 1, 0);
          default -> peer.answer(1, 103, false);
        }
        if (said == 1 && name.equals("resets")) {
          peer.to(c);
          continue;
        }
        events = peer.to(c);
        peer.heard(c);
      }
      found.append(name).append(" after ").append(said).append(": ").append(events).append('\n');
      assertTrue(said < 20_000, name);
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
    Http2ClientConnection c = Peer.connected(peer, 2);
    // One long header put into the table, then named again and again by a byte.
    byte[] bomb = new byte[6000];
    int at = 0;
    bomb[at++] = 0x40;
    bomb[at++] = 1;
    bomb[at++] = 'a';
    bomb[at++] = 127;
    bomb[at++] = (byte) 0xff;
    bomb[at++] = 6;
    for (int i = 0; i < 1022; i++) {
      bomb[at++] = 'x';
    }
    while (at < bomb.length) {
      bomb[at++] = (byte) 0xbe;
    }
    peer.say.frame(Frame.HEADERS, Frame.END_HEADERS, 1, bomb, 0, bomb.length);
    assertTrue(peer.to(c).startsWith("broken:"));
  }
}
