package tillerlink.net.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests the client side of RFC 9113 on the level of frames. */
class Http2ClientConnectionTest {
  private final Peer peer = new Peer();

  @Test
  void reportsResponsesAndEnforcesTheStreamLimit() {
    Http2ClientConnection connection = new Http2ClientConnection();
    assertEquals("SETTINGS WINDOW+983041", peer.receivedFrames(connection));
    assertEquals("limit=2", peer.settings(3, 2).sendTo(connection));
    assertEquals("ACK", peer.receivedFrames(connection));
    Peer.open(connection, "hello");
    Peer.open(connection, "");
    assertFalse(connection.canOpenStream());
    assertEquals("HEADERS1/p DATA1:5. HEADERS3./p", peer.receivedFrames(connection));
    assertEquals("[1, 3]", connection.takeSentRequests().toString());
    assertEquals(
        "interim1 response1:200 body1:ab body1:c. response3:404.",
        peer.response(1, 102, false)
            .response(1, 200, false, "content-length", "3")
            .data(1, "ab", false)
            .data(1, "c", true)
            .response(3, 404, true)
            .sendTo(connection));
    assertTrue(connection.canOpenStream());
    assertEquals(0, connection.openStreamCount());
    assertEquals("", peer.receivedFrames(connection));
  }

  @Test
  void eventsDoNotDependOnHowInputIsSplit() {
    peer.settings(3, 5)
        .response(1, 102, false)
        .response(1, 200, false)
        .data(1, "ab", true)
        .response(3, 200, false)
        .writer
        .frame(Frame.PING, 0, 0, 1, 2);
    peer.data(3, "", false).data(3, "z", true).writer.goAway(3, ErrorCode.NO_ERROR);
    byte[] all = peer.writer.take();
    for (int split = 0; split <= all.length; split++) {
      Http2ClientConnection connection = Peer.connected(new Peer(), 2);
      Peer.events(connection);
      connection.feed(Arrays.copyOf(all, split));
      connection.feed(Arrays.copyOfRange(all, split, all.length));
      assertEquals(
          "limit=5 interim1 response1:200 body1:ab. response3:200 body3: body3:z. goaway:3",
          Peer.events(connection),
          "split " + split);
    }
  }

  // ---- GOAWAY ----

  @Test
  void goAwayEndsStreamsAboveItsLastId() {
    Http2ClientConnection connection = Peer.connected(peer, 4);
    peer.writer.goAway(3, ErrorCode.NO_ERROR);
    assertEquals("ended5:ABOVE_GOAWAY ended7:ABOVE_GOAWAY goaway:3", peer.sendTo(connection));
    assertTrue(connection.rejectsNewStreams());
    assertEquals("response1:200.", peer.response(1, 200, true).sendTo(connection));
    peer.writer.goAway(1, ErrorCode.NO_ERROR);
    assertEquals("ended3:ABOVE_GOAWAY goaway:1", peer.sendTo(connection));
    peer.writer.goAway(3, ErrorCode.NO_ERROR);
    assertEquals("connection-error:PROTOCOL_ERROR", peer.sendTo(connection));
  }

  @Test
  void gracefulGoAwayEndsStreamsInItsSecondStep() {
    Http2ClientConnection connection = Peer.connected(peer, 2);
    peer.writer.goAway(Integer.MAX_VALUE, ErrorCode.NO_ERROR);
    assertEquals("goaway:2147483647", peer.sendTo(connection));
    assertFalse(connection.canOpenStream());
    peer.writer.goAway(1, ErrorCode.NO_ERROR);
    assertEquals("ended3:ABOVE_GOAWAY goaway:1", peer.sendTo(connection));
  }

  // ---- limits and windows ----

  @Test
  void streamLimitMayFallBelowOpenStreamsAndRiseAgain() {
    Http2ClientConnection connection = Peer.connected(peer, 3);
    assertEquals("limit=1", peer.settings(3, 1).sendTo(connection));
    assertFalse(connection.canOpenStream());
    assertEquals(
        "response1:200. response3:200. response5:200. limit=0",
        peer.response(1, 200, true)
            .response(3, 200, true)
            .response(5, 200, true)
            .settings(3, 0)
            .sendTo(connection));
    assertFalse(connection.canOpenStream());
    assertEquals("limit=9", peer.settings(3, 9).sendTo(connection));
    assertTrue(connection.canOpenStream());
  }

  @Test
  void bodiesShareTheFlowControlWindows() {
    Http2ClientConnection connection = Peer.connected(peer, 0);
    peer.settings(4, 30_000).sendTo(connection);
    Peer.open(connection, "a".repeat(40_000));
    Peer.open(connection, "b".repeat(40_000));
    Peer.open(connection, "c".repeat(10));
    assertEquals(
        "ACK HEADERS1/p DATA1:16384 DATA1:13616 HEADERS3/p DATA3:16384 DATA3:13616 HEADERS5/p"
            + " DATA5:10.",
        peer.receivedFrames(connection));
    assertEquals("[5]", connection.takeSentRequests().toString());
    peer.writer.frame(Frame.WINDOW_UPDATE, 0, 1, 100_000);
    peer.sendTo(connection);
    assertEquals("DATA1:5525", peer.receivedFrames(connection));
    peer.writer.frame(Frame.WINDOW_UPDATE, 0, 0, 100_000);
    peer.sendTo(connection);
    assertEquals("DATA1:4475.", peer.receivedFrames(connection));
    assertFalse(connection.isRequestSent(3));
    peer.settings(4, 20_000).sendTo(connection);
    peer.writer.frame(Frame.WINDOW_UPDATE, 0, 3, 10_000);
    peer.sendTo(connection);
    assertEquals(
        "ACK",
        peer.receivedFrames(connection),
        "the stream's window had fallen below 0 and is 0 now");
    peer.settings(4, 65_535).sendTo(connection);
    assertEquals("ACK DATA3:10000.", peer.receivedFrames(connection));
  }

  @Test
  void responseBeforeRequestWasSentResetsStream() {
    Http2ClientConnection connection = Peer.connected(peer, 0);
    peer.settings(4, 0).sendTo(connection);
    Peer.open(connection, "body");
    assertEquals("ACK HEADERS1/p", peer.receivedFrames(connection));
    assertEquals("response1:413.", peer.response(1, 413, true).sendTo(connection));
    assertEquals("RST1:NO_ERROR", peer.receivedFrames(connection));
    assertEquals(0, connection.openStreamCount());
  }

  @Test
  void receiveWindowCreditIsReturned() {
    Http2ClientConnection connection = Peer.connected(peer, 40);
    String page = "x".repeat(16_000);
    for (int i = 0; i < 35; i++) {
      peer.response(1 + 2 * i, 200, false).data(1 + 2 * i, page, true);
    }
    peer.sendTo(connection);
    assertEquals("WINDOW+528000", peer.receivedFrames(connection));
  }

  // ---- cancellations and resets ----

  @Test
  void resetReportsWhetherTheResponseHadBegun() {
    Http2ClientConnection connection = Peer.connected(peer, 4);
    peer.writer.reset(1, ErrorCode.REFUSED_STREAM);
    peer.writer.reset(3, ErrorCode.INTERNAL_ERROR);
    peer.response(5, 200, false).writer.reset(5, ErrorCode.CANCEL);
    assertEquals(
        "ended1:REFUSED ended3:RESET_BEFORE_ANSWER response5:200 ended5:RESET_IN_ANSWER",
        peer.sendTo(connection));
    connection.cancel(7, ErrorCode.CANCEL);
    assertEquals("RST7:CANCEL", peer.receivedFrames(connection));
    assertEquals(
        "",
        peer.response(7, 200, false).data(7, "late", true).sendTo(connection),
        "frames sent before the peer saw the reset are ignored");
    peer.writer.reset(7, ErrorCode.REFUSED_STREAM);
    assertEquals("", peer.sendTo(connection));
    assertTrue(connection.canOpenStream());
  }

  @Test
  void refusedStreamAfterResponseBeganCountsAsReset() {
    Http2ClientConnection connection = Peer.connected(peer, 1);
    peer.response(1, 200, false).writer.reset(1, ErrorCode.REFUSED_STREAM);
    assertEquals("response1:200 ended1:RESET_IN_ANSWER", peer.sendTo(connection));
  }

  @Test
  void pingsAreAcknowledgedAndMatched() {
    Http2ClientConnection connection = Peer.connected(peer, 0);
    connection.ping();
    assertEquals("PING", peer.receivedFrames(connection));
    peer.writer.frame(Frame.PING, Frame.ACK, 0, 0, 7);
    assertEquals("", peer.sendTo(connection), "acknowledges a PING that was never sent");
    peer.writer.frame(Frame.PING, Frame.ACK, 0, 0, 1);
    assertEquals("pong", peer.sendTo(connection));
    peer.writer.frame(Frame.PING, 0, 0, 3, 4);
    peer.sendTo(connection);
    assertEquals("PONG", peer.receivedFrames(connection));
  }

  @Test
  void goAwayWithHighestIdRejectsNewStreams() {
    Http2ClientConnection connection = Peer.connected(peer, 0);
    assertFalse(connection.rejectsNewStreams());
    peer.writer.goAway(Integer.MAX_VALUE, ErrorCode.NO_ERROR);
    peer.sendTo(connection);
    assertTrue(connection.rejectsNewStreams());
  }
}
