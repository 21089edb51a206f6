package tillerlink.net.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The client's side of RFC 9113, frame by frame. */
class Http2ClientConnectionTest {
  private final Peer peer = new Peer();

  @Test
  void aStreamFromRequestToAnswer() {
    Http2ClientConnection c = new Http2ClientConnection();
    assertEquals("SETTINGS WINDOW+983041", peer.heard(c));
    assertEquals("limit=2", peer.settings(3, 2).to(c));
    assertEquals("ACK", peer.heard(c));
    Peer.open(c, "hello");
    Peer.open(c, "");
    assertFalse(c.takesStreams());
    assertEquals("HEADERS1/p DATA1:5. HEADERS3./p", peer.heard(c));
    assertEquals("[1, 3]", c.takeSentRequests().toString());
    assertEquals(
        "interim1 answer1:200 body1:ab body1:c. answer3:404.",
        peer.answer(1, 102, false)
            .answer(1, 200, false, "content-length", "3")
            .data(1, "ab", false)
            .data(1, "c", true)
            .answer(3, 404, true)
            .to(c));
    assertTrue(c.takesStreams());
    assertEquals(0, c.open());
    assertEquals("", peer.heard(c));
  }

  @Test
  void everySplitTellsTheSame() {
    peer.settings(3, 5)
        .answer(1, 102, false)
        .answer(1, 200, false)
        .data(1, "ab", true)
        .answer(3, 200, false)
        .say
        .frame(Frame.PING, 0, 0, 1, 2);
    peer.data(3, "", false).data(3, "z", true).say.goAway(3, ErrorCode.NO_ERROR);
    byte[] all = peer.say.take();
    for (int split = 0; split <= all.length; split++) {
      Http2ClientConnection c = Peer.connected(new Peer(), 2);
      Peer.events(c);
      c.feed(Arrays.copyOf(all, split));
      c.feed(Arrays.copyOfRange(all, split, all.length));
      assertEquals(
          "limit=5 interim1 answer1:200 body1:ab. answer3:200 body3: body3:z. leaving:3",
          Peer.events(c),
          "split " + split);
    }
  }

  // ---- leaving ----

  @Test
  void goAwayTellsWhichStreamsNeverRan() {
    Http2ClientConnection c = Peer.connected(peer, 4);
    peer.say.goAway(3, ErrorCode.NO_ERROR);
    assertEquals("ended5:ABOVE_GOAWAY ended7:ABOVE_GOAWAY leaving:3", peer.to(c));
    assertTrue(c.isSpent());
    assertEquals("answer1:200.", peer.answer(1, 200, true).to(c));
    peer.say.goAway(1, ErrorCode.NO_ERROR);
    assertEquals("ended3:ABOVE_GOAWAY leaving:1", peer.to(c));
    peer.say.goAway(3, ErrorCode.NO_ERROR);
    assertEquals("broken:PROTOCOL_ERROR", peer.to(c));
  }

  @Test
  void theGracefulGoAwayHasTwoSteps() {
    Http2ClientConnection c = Peer.connected(peer, 2);
    peer.say.goAway(Integer.MAX_VALUE, ErrorCode.NO_ERROR);
    assertEquals("leaving:2147483647", peer.to(c));
    assertFalse(c.takesStreams());
    peer.say.goAway(1, ErrorCode.NO_ERROR);
    assertEquals("ended3:ABOVE_GOAWAY leaving:1", peer.to(c));
  }

  // ---- limits and windows ----

  @Test
  void aLimitMayFallBelowWhatIsOpenAndRiseAgain() {
    Http2ClientConnection c = Peer.connected(peer, 3);
    assertEquals("limit=1", peer.settings(3, 1).to(c));
    assertFalse(c.takesStreams());
    assertEquals(
        "answer1:200. answer3:200. answer5:200. limit=0",
        peer.answer(1, 200, true).answer(3, 200, true).answer(5, 200, true).settings(3, 0).to(c));
    assertFalse(c.takesStreams());
    assertEquals("limit=9", peer.settings(3, 9).to(c));
    assertTrue(c.takesStreams());
  }

  @Test
  void bodiesShareTheWindowsInTurn() {
    Http2ClientConnection c = Peer.connected(peer, 0);
    peer.settings(4, 30_000).to(c);
    Peer.open(c, "a".repeat(40_000));
    Peer.open(c, "b".repeat(40_000));
    Peer.open(c, "c".repeat(10));
    assertEquals(
        "ACK HEADERS1/p DATA1:16384 DATA1:13616 HEADERS3/p DATA3:16384 DATA3:13616 HEADERS5/p"
            + " DATA5:10.",
        peer.heard(c));
    assertEquals("[5]", c.takeSentRequests().toString());
    peer.say.frame(Frame.WINDOW_UPDATE, 0, 1, 100_000);
    peer.to(c);
    assertEquals("DATA1:5525", peer.heard(c));
    peer.say.frame(Frame.WINDOW_UPDATE, 0, 0, 100_000);
    peer.to(c);
    assertEquals("DATA1:4475.", peer.heard(c));
    assertFalse(c.isRequestSent(3));
    peer.settings(4, 20_000).to(c);
    peer.say.frame(Frame.WINDOW_UPDATE, 0, 3, 10_000);
    peer.to(c);
    assertEquals("ACK", peer.heard(c), "the window had fallen below 0, and is at 0 now");
    peer.settings(4, 65_535).to(c);
    assertEquals("ACK DATA3:10000.", peer.heard(c));
  }

  @Test
  void anAnswerBeforeTheRequestWasWhollySent() {
    Http2ClientConnection c = Peer.connected(peer, 0);
    peer.settings(4, 0).to(c);
    Peer.open(c, "body");
    assertEquals("ACK HEADERS1/p", peer.heard(c));
    assertEquals("answer1:413.", peer.answer(1, 413, true).to(c));
    assertEquals("RST1:NO_ERROR", peer.heard(c));
    assertEquals(0, c.open());
  }

  @Test
  void ourWindowIsHandedBack() {
    Http2ClientConnection c = Peer.connected(peer, 40);
    String page = "x".repeat(16_000);
    for (int i = 0; i < 35; i++) {
      peer.answer(1 + 2 * i, 200, false).data(1 + 2 * i, page, true);
    }
    peer.to(c);
    assertEquals("WINDOW+528000", peer.heard(c));
  }

  // ---- cancels and resets ----

  @Test
  void resets() {
    Http2ClientConnection c = Peer.connected(peer, 4);
    peer.say.reset(1, ErrorCode.REFUSED_STREAM);
    peer.say.reset(3, ErrorCode.INTERNAL_ERROR);
    peer.answer(5, 200, false).say.reset(5, ErrorCode.CANCEL);
    assertEquals(
        "ended1:REFUSED ended3:RESET_BEFORE_ANSWER answer5:200 ended5:RESET_IN_ANSWER", peer.to(c));
    c.cancel(7, ErrorCode.CANCEL);
    assertEquals("RST7:CANCEL", peer.heard(c));
    assertEquals(
        "",
        peer.answer(7, 200, false).data(7, "late", true).to(c),
        "it crossed our reset, and is passed over");
    peer.say.reset(7, ErrorCode.REFUSED_STREAM);
    assertEquals("", peer.to(c));
    assertTrue(c.takesStreams());
  }

  @Test
  void refusedAfterTheAnswerBeganProvesNothing() {
    Http2ClientConnection c = Peer.connected(peer, 1);
    peer.answer(1, 200, false).say.reset(1, ErrorCode.REFUSED_STREAM);
    assertEquals("answer1:200 ended1:RESET_IN_ANSWER", peer.to(c));
  }

  @Test
  void pings() {
    Http2ClientConnection c = Peer.connected(peer, 0);
    c.ping();
    assertEquals("PING", peer.heard(c));
    peer.say.frame(Frame.PING, Frame.ACK, 0, 0, 7);
    assertEquals("", peer.to(c), "an answer to no ping of ours");
    peer.say.frame(Frame.PING, Frame.ACK, 0, 0, 1);
    assertEquals("pong", peer.to(c));
    peer.say.frame(Frame.PING, 0, 0, 3, 4);
    peer.to(c);
    assertEquals("PONG", peer.heard(c));
  }

  @Test
  void streamIdsRunOut() {
    Http2ClientConnection c = Peer.connected(peer, 0);
    assertFalse(c.isSpent());
    peer.say.goAway(Integer.MAX_VALUE, ErrorCode.NO_ERROR);
    peer.to(c);
    assertTrue(c.isSpent());
  }
}
