package tillerlink;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.net.state.DisconnectReason;

/**
 * Requests from bytes to orders and back, on a driver that only prints; each story is compared with
 * its kept trace.
 */
class GatewayTest {
  private static final String ID = "00000000000000a1";
  private static final String OTHER = "00000000000000a2";

  @Test
  void aResultOfThreePagesIsAssembled() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("c1", ID, "look")
            .get("c1", ID)
            .connected(0)
            .engine(0, ID + " progress tell=frac,reading=0.5 0||");
    gateway
        .engine(0, ID + " ok count=3 8|a\t1\tx\n|".replace("8", "6"))
        .say("pages in any order")
        .engine(0, ID + " batch pos=2 6|c\t3\tz\n|")
        .engine(0, ID + " batch pos=1 6|b\t2\ty\n|");
    gateway
        .say("the same again after a broken connection")
        .breaks("c1", DisconnectReason.RESET)
        .get("c2", ID)
        .pass(2500)
        .get("c2", ID);
    gateway.matches("net-pages");
  }

  /**
   * What each ending proves is seen on a request class that must never run twice: another attempt,
   * or it is failed.
   */
  @Test
  void everyEndingProvesWhatItMay() {
    GatewayFixture gateway = new GatewayFixture();
    for (DisconnectReason how : List.of(DisconnectReason.REFUSED, DisconnectReason.RESET)) {
      gateway
          .say("before it was connected: " + how)
          .fresh()
          .post("c1", ID, "book")
          .get("c1", ID)
          .ends(0, how);
    }
    gateway.say("it never comes up").fresh().post("c1", ID, "book").get("c1", ID).pass(300);
    gateway
        .say("reset before it was wholly written")
        .fresh()
        .stuck()
        .post("c1", ID, "book")
        .get("c1", ID)
        .connected(0)
        .ends(0, DisconnectReason.RESET);
    for (DisconnectReason how : List.of(DisconnectReason.RESET, DisconnectReason.CLOSED_BY_PEER)) {
      gateway
          .say("after it was written: " + how)
          .fresh()
          .post("c1", ID, "book")
          .get("c1", ID)
          .connected(0)
          .ends(0, how);
    }
    for (String word : List.of("refused", "stale", "error")) {
      gateway
          .say("the engine says " + word)
          .fresh()
          .post("c1", ID, "book")
          .get("c1", ID)
          .connected(0)
          .engine(0, ID + " " + word + " - 0||");
    }
    gateway
        .say("a page is lost")
        .fresh()
        .post("c1", ID, "book")
        .get("c1", ID)
        .connected(0)
        .engine(0, ID + " ok count=2 0||")
        .engine(0, ID + " error - 0||");
    for (String bad :
        List.of(
            "x|",
            ID + " hello - 0||",
            "00000000000000ff ok count=1 0||",
            ID + " ok count=1 1|ab|",
            ID + " batch pos=1 0||")) {
      gateway
          .say("it can't be read")
          .fresh()
          .post("c1", ID, "book")
          .get("c1", ID)
          .connected(0)
          .engine(0, bad);
    }
    gateway
        .say("nobody is there any more")
        .fresh()
        .post("c1", ID, "book")
        .get("c1", ID)
        .connected(0)
        .pass(800);
    gateway.say("a result too long").fresh().post("c1", ID, "book").get("c1", ID).connected(0);
    String page = " 6000|" + ("x".repeat(1997) + "\t\t\n").repeat(3) + "|";
    gateway.quiet(true).engine(0, ID + " ok count=9" + page);
    for (int i = 1; i < 8; i++) {
      gateway.engine(0, ID + " batch pos=" + i + page);
    }
    gateway.quiet(false).engine(0, ID + " batch pos=8" + page).matches("net-endings");
  }

  /**
   * Guards the attempts beside a spoilt answer, and what of a result has come whole, and against
   * running anything again.
   */
  @Test
  void unreadableResponsesSpareOtherAttempts() {
    String row = " 6|a\t1\tx\n|";
    GatewayFixture gateway = new GatewayFixture().post("c1", ID, "look").get("c1", ID).connected(0);
    gateway
        .say("more than belongs to it")
        .engine(0, "00000000000000ff ok count=1 0||")
        .engine(0, ID + " ok count=2" + row)
        .engine(0, ID + " ok count=2" + row)
        .say("a page spoilt: asked for again")
        .engine(0, ID + " batch pos=1 4|a\tb\n|")
        .connected(1);
    gateway.engine(1, ID + " batch pos=1" + row).engine(1, ID + " batch pos=1" + row);
    gateway
        .say("the first page spoilt beside another hop")
        .fresh()
        .post("c1", ID, "look")
        .get("c1", ID)
        .connected(0)
        .post("c2", "00000000000000a2", "look")
        .post("c3", "00000000000000a3", "look")
        .engine(0, ID + " ok count=1 6|a\t1\u0001x\n|");
    gateway
        .say("no end comes")
        .fresh()
        .post("c1", ID, "look")
        .get("c1", ID)
        .connected(0)
        .engine(0, ID + " ok count=1 60|a\t1")
        .pass(300);
    gateway
        .say("it breaks off on the way")
        .fresh()
        .post("c1", ID, "look")
        .get("c1", ID)
        .connected(0)
        .engine(0, ID + " ok cou")
        .ends(0, DisconnectReason.CLOSED_BY_PEER);
    gateway
        .say("the connection alone is dead")
        .fresh()
        .post("c1", ID, "look")
        .get("c1", ID)
        .connected(0)
        .pass(350)
        .connected(1)
        .pass(100);
    for (String how : List.of("nobody is there any more", "no connection comes up any more")) {
      gateway
          .say("it has run, its connection breaks while its result comes, and " + how)
          .fresh()
          .post("c1", ID, "book")
          .get("c1", ID)
          .connected(0)
          .engine(0, ID + " ok count=2" + row)
          .ends(0, DisconnectReason.RESET);
      gateway =
          how.startsWith("nobody")
              ? gateway
                  .ends(1, DisconnectReason.REFUSED)
                  .ends(2, DisconnectReason.REFUSED)
                  .ends(3, DisconnectReason.REFUSED)
              : gateway.pass(900);
      gateway.get("c1", ID);
    }
    gateway.matches("net-spoilt");
  }

  /**
   * Guards against waiting for a machine that vanished, and against taking one that is only slow
   * for it.
   */
  @Test
  void aSilentConnectionIsProbedAndReplaced() {
    GatewayFixture gateway = new GatewayFixture().post("c1", ID, "look").get("c1", ID).connected(0);
    gateway
        .say("quiet, but it works")
        .pass(200)
        .engine(0, "0 yes - 0||")
        .say("quiet again, for longer, and nobody is there")
        .pass(750);
    gateway.connected(2).engine(2, ID + " ok count=1 6|a\t1\tx\n|");
    gateway
        .say("quiet, and nobody listens any more")
        .fresh()
        .post("c1", ID, "look")
        .get("c1", ID)
        .connected(0)
        .pass(350)
        .ends(1, DisconnectReason.REFUSED);
    gateway
        .say("it does not say that it works, but a new connection comes up")
        .fresh()
        .post("c1", ID, "look")
        .get("c1", ID)
        .connected(0)
        .pass(350)
        .connected(1);
    gateway
        .post("c2", "00000000000000a2", "look")
        .post("c2", "00000000000000a3", "look")
        .post("c2", "00000000000000a4", "look");
    gateway
        .say("a late answer is as good")
        .engine(0, ID + " ok count=1 0||")
        .say("a later answer to what is over is no fault")
        .engine(0, ID + " progress - 0||")
        .matches("net-silence");
  }

  /** Guards against taking a pause of this machine for a silent engine. */
  @Test
  void aPauseOfThisProcessIsNoSilentEngine() {
    GatewayFixture gateway =
        new GatewayFixture().post("c1", ID, "look").get("c1", ID).connected(0).stall(3000);
    gateway
        .say("what was said meanwhile is heard first")
        .engine(0, ID + " progress tell=frac,reading=0.9 0||")
        .matches("net-stood-still");
  }

  @Test
  void aFullTableRejectsRequests() {
    GatewayFixture gateway = new GatewayFixture().quiet(true);
    for (int i = 0; i < 4096; i++) {
      gateway.post("c1", String.format("%016x", i), "look");
    }
    gateway
        .quiet(false)
        .post("c1", "00000000000f00a1", "look")
        .say("answers that nobody fetches are kept until their clients have gone");
    gateway.quiet(true).pass(6000).quiet(false).post("c2", ID, "look").matches("net-full");
  }

  @Test
  void clientsThatDisconnectOrCancelAreOwedNothing() {
    GatewayFixture gateway = new GatewayFixture().post("c1", ID, "look").get("c1", ID).connected(0);
    gateway
        .say("by DELETE")
        .client("c2", "DELETE /v1/calls/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n");
    gateway
        .say("by a close before the path was out")
        .stuck()
        .post("c3", "00000000000000a2", "look")
        .breaks("c3", DisconnectReason.CLOSED_BY_PEER);
    gateway.matches("net-leave");
  }

  @Test
  void invalidRequestsAreRefused() {
    GatewayFixture gateway = new GatewayFixture();
    String[] heads = {
      "POST /v1/nobody",
      "POST /v2/look",
      "GET /v1/calls/00000000000000ff",
      "PUT /v1/look",
      "GET /other"
    };
    for (String head : heads) {
      gateway
          .client("c1", head + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
          .breaks("c1", DisconnectReason.CLOSED_BY_PEER);
    }
    for (String fields :
        List.of(
            "",
            "X-Correlation-Id: 12\r\nX-Deadline-Ms: 5\r\n",
            "X-Correlation-Id: " + ID + "\r\n",
            "X-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: soon\r\n",
            "X-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: 10001\r\n",
            "X-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: 5\r\nX-Space: -1\r\n",
            "X-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: 5\r\nX-Estimate-Ms: 1e9\r\n",
            "X-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: 5\r\nX-Estimate-Ms: 5d\r\n",
            "X-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: 5\r\nX-Operation-Key: a,b\r\n")) {
      gateway.client(
          "c2",
          "POST /v1/look HTTP/1.1\r\nHost: a\r\n" + fields + "Content-Length: 8\r\n\r\nSELECT 1");
    }
    gateway.say("a load without its mark, nothing to run, no text").post("c2", ID, "load");
    String usable =
        "POST /v1/look HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: 5\r\n";
    gateway
        .client("c2", usable + "Content-Length: 0\r\n\r\n")
        .client("c2", usable + "Content-Length: 1\r\n\r\n\0");
    gateway
        .say("a body that waits to be asked for")
        .client(
            "c3",
            "POST /v1/look HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                + "X-Correlation-Id: "
                + ID
                + "\r\nX-Deadline-Ms: 50\r\nContent-Length: 8\r\n\r\n")
        .client("c3", "SELECT 1");
    gateway
        .say(
            "the same once more, for a client whose connection broke; the id with another"
                + " statement")
        .post("c2", ID, "look")
        .client("c2", usable + "Content-Length: 8\r\n\r\nSELECT 2");
    gateway
        .say("a body that hides a call")
        .client(
            "c5", usable + "Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET ");
    gateway
        .say("60 MB to come: refused, what comes is thrown away for a while, then no longer read")
        .client("c6", usable + "Content-Length: 60000000\r\n\r\n")
        .client("c6", "x".repeat(200_000))
        .client("c6", "x".repeat(200_000));
    gateway
        .say("half a call")
        .client("c4", "POST /v1/lo")
        .pass(1000)
        .say("and a little more")
        .client("c4", "ok")
        .pass(10000);
    gateway.matches("net-bad-calls");
  }

  /** Guards usual clients against those that take up connections and say nothing. */
  @Test
  void atTheBoundTheLeastUsefulConnectionIsClosed() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("busy", ID, "look")
            .get("busy", ID)
            .client("idle", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    gateway.quiet(true).pass(500).client("mute0", "").pass(10);
    for (int i = 3; i < 409; i++) {
      gateway.client("mute" + i, i % 2 == 0 ? "" : "POST");
    }
    gateway
        .quiet(false)
        .say("409 are connected, and had time to speak")
        .pass(150)
        .client("late1", "")
        .client("late2", "");
    gateway.quiet(true);
    for (int i = 0; i < 409; i++) {
      gateway.client("burst" + i, "");
    }
    gateway
        .quiet(false)
        .say("those who asked once go next; nobody who had no time to speak")
        .pass(1)
        .client("last", "")
        .quiet(true);
    gateway.pass(150).quiet(false).say("now they had").client("later", "").matches("net-bound");
  }

  @Test
  void pipelinedRequestsAreReadOnceTheAnswerBeforeIsWritten() {
    GatewayFixture gateway = new GatewayFixture().stuck();
    gateway
        .client("c1", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".repeat(3))
        .say("the first answer is out")
        .letGo();
    gateway
        .say("a client that does not read")
        .stuck()
        .client("c2", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        .pass(10050);
    gateway.matches("net-pipelined");
  }

  /**
   * Guards against sending to a process that is gone what was meant for the one that took its
   * place.
   */
  @Test
  void endpointListUpdatesReplaceProcesses() {
    GatewayFixture gateway = new GatewayFixture().post("c1", ID, "look").get("c1", ID).connected(0);
    gateway
        .say("the engine restarted under its name, the other is gone: a new connection")
        .news(5, "e1 ready 127.0.0.1:5050 east std 0 1700000000000")
        .engine(0, "0 yes - 0||")
        .post("c2", "00000000000000a2", "look")
        .connected(1);
    gateway
        .say("older news are dropped")
        .news(4, "e9 ready 127.0.0.9:5050 east std 0 0")
        .engine(1, "0 yes - 0||")
        .post("c2", "00000000000000a3", "look");
    gateway
        .say("another engine under its address")
        .news(6, "e2 ready 127.0.0.1:5050 east std 0 0")
        .post("c3", "00000000000000a4", "look")
        .connected(2);
    gateway
        .say("restarted elsewhere while a connection to it comes up: what waits for that goes anew")
        .fresh()
        .post("c1", ID, "book")
        .get("c1", ID)
        .news(5, "e1 ready 127.0.0.3:5050 east std 0 1700000000000")
        .connected(1);
    gateway
        .say("drains while a connection to it comes up: nothing is written there")
        .fresh()
        .post("c1", ID, "book")
        .get("c1", ID)
        .news(5, "e1 draining 127.0.0.1:5050 east std 0 0", "e2 ready 127.0.0.2:5050 east std 0 0")
        .connected(0);
    gateway
        .say("drains while what was said still waits here for a peer that does not read")
        .fresh()
        .stuck()
        .post("c1", ID, "book")
        .get("c1", ID)
        .connected(0)
        .news(5, "e1 draining 127.0.0.1:5050 east std 0 0", "e2 ready 127.0.0.2:5050 east std 0 0")
        .pass(250)
        .ends(0, DisconnectReason.RESET);
    gateway.matches("net-news");
  }

  /**
   * Guards clients' time after a pause: what goes on coming without a gap may all have come in it.
   */
  @Test
  void inputWithoutAGapAfterAPauseCountsFromThePause() {
    GatewayFixture gateway =
        new GatewayFixture()
            .pass(500)
            .say("the process stands still, then what had come is read bit by bit")
            .stall(600);
    for (int i = 1; i <= 4; i++) {
      gateway.post("c" + i, "00000000000000a" + i, "look").pass(40);
    }
    gateway.say("a gap, and what comes after it").pass(100).post("c5", "00000000000000a5", "look");
    gateway.connected(1).connected(2).connected(3).connected(5).matches("net-paused");
  }

  /** Guards the drain, and the engines that an answer had no room for. */
  @Test
  void aTruncatedAnswerStillDrainsEngines() {
    GatewayFixture gateway =
        new GatewayFixture()
            .say("e1 drains; its address, and all of e2, had no room")
            .truncated(5, "e1 draining 127.0.0.1:5050 east std 0 0");
    for (int i = 0; i < 3; i++) {
      gateway.post("c" + i, "00000000000000a" + i, "look").connected(i);
    }
    gateway
        .say("older news in part")
        .truncated(4, "e2 draining 127.0.0.2:5050 east std 0 0")
        .post("c4", "00000000000000a4", "look")
        .connected(3);
    gateway
        .say("the whole of the same number")
        .news(5, "e2 ready 127.0.0.2:5050 east std 0 0", "e3 ready 127.0.0.3:5050 east std 0 0")
        .post("c5", "00000000000000a5", "look");
    gateway.matches("net-partial");
  }

  /**
   * Guards engines that read nothing for a while: what was given up meanwhile is not there for them
   * to read later.
   */
  @Test
  void aCancelledAttemptIsNotWrittenLater() {
    GatewayFixture gateway =
        new GatewayFixture().post("c1", ID, "look").get("c1", ID).stuck().connected(0).pass(100);
    gateway
        .say("the client leaves; the engine has read nothing")
        .client("c2", "DELETE /v1/calls/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n")
        .pass(150)
        .ends(0, DisconnectReason.RESET);
    gateway
        .say("one that has read all")
        .letGo()
        .post("c3", "00000000000000a2", "look")
        .get("c3", "00000000000000a2")
        .connected(1)
        .client("c4", "DELETE /v1/calls/00000000000000a2 HTTP/1.1\r\nHost: a\r\n\r\n")
        .pass(200);
    gateway.matches("net-given-up");
  }

  /**
   * Guards the order of a subject, where a request class asks for it: the next goes out when the
   * one before is over.
   */
  @Test
  void requestsOfASubjectKeepTheirOrder() {
    GatewayFixture gateway =
        new GatewayFixture()
            .ordered("c1", "00000000000000a1", "x")
            .ordered("c2", "00000000000000a2", "x")
            .connected(0);
    gateway
        .say("another subject does not wait")
        .ordered("c3", "00000000000000a3", "y")
        .connected(1);
    gateway
        .say("the first is over")
        .engine(0, "00000000000000a1 ok count=1 0||")
        .matches("net-order");
  }

  @Test
  void aDrainServesAndThenRefuses() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("c1", ID, "look")
            .get("c1", ID)
            .connected(0)
            .say("told to end")
            .drain();
    gateway
        .client("c2", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        .answered()
        .post("c2", "00000000000000a2", "look");
    gateway
        .engine(0, ID + " ok count=1 0||")
        .answered()
        .say("time is up")
        .timeUp()
        .get("c2", "00000000000000a2")
        .answered()
        .matches("net-drain");
  }

  /**
   * Guards large fleets: with more engines than connections, each engine is reached, and the
   * longest idle one ends.
   */
  @Test
  void withMoreEnginesThanConnectionsTheLongestIdleIsClosed() {
    GatewayFixture gateway =
        new GatewayFixture().fleet(40, 12).say("40 engines, four connections: a hop on each");
    for (int i = 0; i < 4; i++) {
      gateway.post("c" + i, "00000000000000b" + i, "look").connected(i);
    }
    gateway
        .say("none is idle")
        .post("c4", "00000000000000b4", "look")
        .say("the second is idle longer than the first")
        .engine(1, "00000000000000b1 ok count=1 0||")
        .pass(20)
        .engine(0, "00000000000000b0 ok count=1 0||");
    gateway.post("c5", "00000000000000b5", "look").matches("net-many-engines");
  }

  /**
   * What the settings leave out is measured by the shortest latency objective (400 ms here) and the
   * longest deadline (5 s), not by any figure of the program's own.
   */
  @Test
  void settingsThatAreLeftOutHaveDefaults() {
    GatewayFixture gateway =
        new GatewayFixture()
            .terse()
            .post("c1", ID, "look")
            .get("c1", ID)
            .say("not up for a soft limit")
            .pass(399)
            .pass(2);
    gateway
        .say("the next is up")
        .post("c2", OTHER, "look")
        .get("c2", OTHER)
        .connected(1)
        .engine(1, OTHER + " ok count=1 6|a\t1\tx\n|");
    gateway
        .say("idle for a deadline")
        .pass(4_800)
        .say("and no longer")
        .pass(400)
        .matches("net-unstated");
    int before = gateway.silentNames().questions();
    gateway.pass(40_000);
    int asked = gateway.questions() - before;
    assertTrue(asked >= 95 && asked <= 105, asked + " questions in a hundred soft limits");
  }
}
