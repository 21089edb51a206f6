package tillerlink;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.net.state.DisconnectReason;

/**
 * Tests the gateway from received bytes to sent bytes, on a network driver that only prints. The
 * output of each scenario is compared with its kept trace.
 */
class GatewayTest {
  private static final String ID = "00000000000000a1";
  private static final String OTHER_ID = "00000000000000a2";

  /**
   * The pages of a result may arrive in any order, and a client whose connection broke fetches the
   * assembled result again.
   */
  @Test
  void resultOfThreePagesIsAssembled() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("c1", ID, "look")
            .get("c1", ID)
            .engineConnects(0)
            .engineSends(0, ID + " progress tell=frac,reading=0.5 0||");
    gateway
        .engineSends(0, ID + " ok count=3 8|a\t1\tx\n|".replace("8", "6"))
        .comment("pages in any order")
        .engineSends(0, ID + " batch pos=2 6|c\t3\tz\n|")
        .engineSends(0, ID + " batch pos=1 6|b\t2\ty\n|");
    gateway
        .comment("the answer is fetched again after the client's connection broke")
        .clientDisconnects("c1", DisconnectReason.RESET)
        .get("c2", ID)
        .advance(2500)
        .get("c2", ID);
    gateway.assertMatches("net-pages");
  }

  /**
   * Covers each way in which an attempt can end, on a request class that must never run twice. The
   * gateway may make another attempt only if the end proves that the previous one did not run;
   * otherwise the request fails.
   */
  @Test
  void effectfulRequestIsRetriedOnlyIfItsAttemptProvablyDidNotRun() {
    GatewayFixture gateway = new GatewayFixture();
    for (DisconnectReason reason : List.of(DisconnectReason.REFUSED, DisconnectReason.RESET)) {
      gateway
          .comment("connection ends before it opens: " + reason)
          .restart()
          .post("c1", ID, "book")
          .get("c1", ID)
          .engineDisconnects(0, reason);
    }
    gateway
        .comment("connection never opens")
        .restart()
        .post("c1", ID, "book")
        .get("c1", ID)
        .advance(300);
    gateway
        .comment("connection reset before the attempt was completely written")
        .restart()
        .blockWrites()
        .post("c1", ID, "book")
        .get("c1", ID)
        .engineConnects(0)
        .engineDisconnects(0, DisconnectReason.RESET);
    for (DisconnectReason reason :
        List.of(DisconnectReason.RESET, DisconnectReason.CLOSED_BY_PEER)) {
      gateway
          .comment("connection ends after the attempt was written: " + reason)
          .restart()
          .post("c1", ID, "book")
          .get("c1", ID)
          .engineConnects(0)
          .engineDisconnects(0, reason);
    }
    for (String status : List.of("refused", "stale", "error")) {
      gateway
          .comment("the engine responds with " + status)
          .restart()
          .post("c1", ID, "book")
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " " + status + " - 0||");
    }
    gateway
        .comment("a page of the result is lost")
        .restart()
        .post("c1", ID, "book")
        .get("c1", ID)
        .engineConnects(0)
        .engineSends(0, ID + " ok count=2 0||")
        .engineSends(0, ID + " error - 0||");
    for (String response :
        List.of(
            "x|",
            ID + " hello - 0||",
            "00000000000000ff ok count=1 0||",
            ID + " ok count=1 1|ab|",
            ID + " batch pos=1 0||")) {
      gateway
          .comment("unreadable response")
          .restart()
          .post("c1", ID, "book")
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, response);
    }
    gateway
        .comment("the engine no longer answers")
        .restart()
        .post("c1", ID, "book")
        .get("c1", ID)
        .engineConnects(0)
        .advance(800);
    gateway
        .comment("result too long")
        .restart()
        .post("c1", ID, "book")
        .get("c1", ID)
        .engineConnects(0);
    String page = " 6000|" + ("x".repeat(1997) + "\t\t\n").repeat(3) + "|";
    gateway.muteTrace(true).engineSends(0, ID + " ok count=9" + page);
    for (int i = 1; i < 8; i++) {
      gateway.engineSends(0, ID + " batch pos=" + i + page);
    }
    gateway
        .muteTrace(false)
        .engineSends(0, ID + " batch pos=8" + page)
        .assertMatches("net-endings");
  }

  /**
   * An unreadable response must not end the other attempts on its connection, discard pages that
   * were received complete, or make the engine execute a request twice.
   */
  @Test
  void unreadableResponseAffectsNeitherOtherAttemptsNorReceivedPages() {
    String page = " 6|a\t1\tx\n|";
    GatewayFixture gateway =
        new GatewayFixture().post("c1", ID, "look").get("c1", ID).engineConnects(0);
    gateway
        .comment("response to an unknown attempt, then the first page twice")
        .engineSends(0, "00000000000000ff ok count=1 0||")
        .engineSends(0, ID + " ok count=2" + page)
        .engineSends(0, ID + " ok count=2" + page)
        .comment("unreadable page: requested again on a new connection")
        .engineSends(0, ID + " batch pos=1 4|a\tb\n|")
        .engineConnects(1);
    gateway.engineSends(1, ID + " batch pos=1" + page).engineSends(1, ID + " batch pos=1" + page);
    gateway
        .comment("unreadable first page while other attempts are pending")
        .restart()
        .post("c1", ID, "look")
        .get("c1", ID)
        .engineConnects(0)
        .post("c2", "00000000000000a2", "look")
        .post("c3", "00000000000000a3", "look")
        .engineSends(0, ID + " ok count=1 6|a\t1\u0001x\n|");
    gateway
        .comment("the rest of a response never arrives")
        .restart()
        .post("c1", ID, "look")
        .get("c1", ID)
        .engineConnects(0)
        .engineSends(0, ID + " ok count=1 60|a\t1")
        .advance(300);
    gateway
        .comment("connection closed in the middle of a response")
        .restart()
        .post("c1", ID, "look")
        .get("c1", ID)
        .engineConnects(0)
        .engineSends(0, ID + " ok cou")
        .engineDisconnects(0, DisconnectReason.CLOSED_BY_PEER);
    gateway
        .comment("only the connection is dead: a new one to the engine opens")
        .restart()
        .post("c1", ID, "look")
        .get("c1", ID)
        .engineConnects(0)
        .advance(350)
        .engineConnects(1)
        .advance(100);
    for (String failure : List.of("new connections are refused", "no new connection opens")) {
      gateway
          .comment("the attempt was executed, its connection breaks during the result, " + failure)
          .restart()
          .post("c1", ID, "book")
          .get("c1", ID)
          .engineConnects(0)
          .engineSends(0, ID + " ok count=2" + page)
          .engineDisconnects(0, DisconnectReason.RESET);
      gateway =
          failure.startsWith("new")
              ? gateway
                  .engineDisconnects(1, DisconnectReason.REFUSED)
                  .engineDisconnects(2, DisconnectReason.REFUSED)
                  .engineDisconnects(3, DisconnectReason.REFUSED)
              : gateway.advance(900);
      gateway.get("c1", ID);
    }
    gateway.assertMatches("net-spoilt");
  }

  /**
   * Guards against waiting for an engine whose machine vanished without closing its connections,
   * and against mistaking a slow engine for a vanished one.
   */
  @Test
  void silentConnectionIsProbedAndReplaced() {
    GatewayFixture gateway =
        new GatewayFixture().post("c1", ID, "look").get("c1", ID).engineConnects(0);
    gateway
        .comment("silent connection, but the engine answers the liveness check")
        .advance(200)
        .engineSends(0, "0 yes - 0||")
        .comment("silent again, and the engine no longer answers")
        .advance(750);
    gateway.engineConnects(2).engineSends(2, ID + " ok count=1 6|a\t1\tx\n|");
    gateway
        .comment("silent connection, and the engine refuses a new one")
        .restart()
        .post("c1", ID, "look")
        .get("c1", ID)
        .engineConnects(0)
        .advance(350)
        .engineDisconnects(1, DisconnectReason.REFUSED);
    gateway
        .comment("liveness check unanswered, but a new connection opens")
        .restart()
        .post("c1", ID, "look")
        .get("c1", ID)
        .engineConnects(0)
        .advance(350)
        .engineConnects(1);
    gateway
        .post("c2", "00000000000000a2", "look")
        .post("c2", "00000000000000a3", "look")
        .post("c2", "00000000000000a4", "look");
    gateway
        .comment("a late response is used")
        .engineSends(0, ID + " ok count=1 0||")
        .comment("a response to an ended attempt is not an error")
        .engineSends(0, ID + " progress - 0||")
        .assertMatches("net-silence");
  }

  /**
   * After a pause of the gateway process, responses that arrived during the pause must be read
   * before their engine is considered silent.
   */
  @Test
  void processPauseIsNotMistakenForASilentEngine() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("c1", ID, "look")
            .get("c1", ID)
            .engineConnects(0)
            .pauseGateway(3000);
    gateway
        .comment("input received during the pause is processed first")
        .engineSends(0, ID + " progress tell=frac,reading=0.9 0||")
        .assertMatches("net-stood-still");
  }

  /** Answers that no client fetches occupy the registry until their retention period elapses. */
  @Test
  void requestsAreRejectedWhileTheRegistryIsFull() {
    GatewayFixture gateway = new GatewayFixture().muteTrace(true);
    for (int i = 0; i < 4096; i++) {
      gateway.post("c1", String.format("%016x", i), "look");
    }
    gateway
        .muteTrace(false)
        .post("c1", "00000000000f00a1", "look")
        .comment("unfetched answers are stored until their retention period elapses");
    gateway
        .muteTrace(true)
        .advance(6000)
        .muteTrace(false)
        .post("c2", ID, "look")
        .assertMatches("net-full");
  }

  /** A client cancels by DELETE, or by closing before the answer to its submission is written. */
  @Test
  void requestsOfClientsThatDisconnectOrCancelAreCancelled() {
    GatewayFixture gateway =
        new GatewayFixture().post("c1", ID, "look").get("c1", ID).engineConnects(0);
    gateway
        .comment("cancelled by DELETE")
        .clientSends("c2", "DELETE /v1/calls/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n");
    gateway
        .comment("cancelled by closing before the answer to the submission is written")
        .blockWrites()
        .post("c3", "00000000000000a2", "look")
        .clientDisconnects("c3", DisconnectReason.CLOSED_BY_PEER);
    gateway.assertMatches("net-leave");
  }

  @Test
  void invalidRequestsAreRefused() {
    GatewayFixture gateway = new GatewayFixture();
    String[] requestLines = {
      "POST /v1/nobody",
      "POST /v2/look",
      "GET /v1/calls/00000000000000ff",
      "PUT /v1/look",
      "GET /other"
    };
    for (String requestLine : requestLines) {
      gateway
          .clientSends("c1", requestLine + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
          .clientDisconnects("c1", DisconnectReason.CLOSED_BY_PEER);
    }
    for (String headers :
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
      gateway.clientSends(
          "c2",
          "POST /v1/look HTTP/1.1\r\nHost: a\r\n" + headers + "Content-Length: 8\r\n\r\nSELECT 1");
    }
    gateway
        .comment("a load without an idempotency key, an empty body, a body with NUL")
        .post("c2", ID, "load");
    String validHead =
        "POST /v1/look HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: " + ID + "\r\nX-Deadline-Ms: 5\r\n";
    gateway
        .clientSends("c2", validHead + "Content-Length: 0\r\n\r\n")
        .clientSends("c2", validHead + "Content-Length: 1\r\n\r\n\0");
    gateway
        .comment("a body that is sent after 100 Continue")
        .clientSends(
            "c3",
            "POST /v1/look HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                + "X-Correlation-Id: "
                + ID
                + "\r\nX-Deadline-Ms: 50\r\nContent-Length: 8\r\n\r\n")
        .clientSends("c3", "SELECT 1");
    gateway
        .comment(
            "the request again, as after a broken connection; its id with another" + " statement")
        .post("c2", ID, "look")
        .clientSends("c2", validHead + "Content-Length: 8\r\n\r\nSELECT 2");
    gateway
        .comment("a body that may hide another request")
        .clientSends(
            "c5",
            validHead + "Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET ");
    gateway
        .comment("a body of 60 MB: refused, discarded for a while, then reading is paused")
        .clientSends("c6", validHead + "Content-Length: 60000000\r\n\r\n")
        .clientSends("c6", "x".repeat(200_000))
        .clientSends("c6", "x".repeat(200_000));
    gateway
        .comment("an incomplete request")
        .clientSends("c4", "POST /v1/lo")
        .advance(1000)
        .comment("more bytes of it, but not all")
        .clientSends("c4", "ok")
        .advance(10000);
    gateway.assertMatches("net-bad-calls");
  }

  /** Guards regular clients against clients that open many connections and send nothing. */
  @Test
  void leastUsedConnectionIsEvictedAtTheConnectionLimit() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("busy", ID, "look")
            .get("busy", ID)
            .clientSends("idle", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    gateway.muteTrace(true).advance(500).clientSends("mute0", "").advance(10);
    for (int i = 3; i < 409; i++) {
      gateway.clientSends("mute" + i, i % 2 == 0 ? "" : "POST");
    }
    gateway
        .muteTrace(false)
        .comment("409 clients are connected and had time to send a request")
        .advance(150)
        .clientSends("late1", "")
        .clientSends("late2", "");
    gateway.muteTrace(true);
    for (int i = 0; i < 409; i++) {
      gateway.clientSends("burst" + i, "");
    }
    gateway
        .muteTrace(false)
        .comment("clients that sent one request are next; none without time to send one")
        .advance(1)
        .clientSends("last", "")
        .muteTrace(true);
    gateway
        .advance(150)
        .muteTrace(false)
        .comment("now they had time to send a request")
        .clientSends("later", "")
        .assertMatches("net-bound");
  }

  /** Also covers a client that does not read its answer: its connection is closed. */
  @Test
  void pipelinedRequestIsProcessedOnceThePreviousAnswerIsWritten() {
    GatewayFixture gateway = new GatewayFixture().blockWrites();
    gateway
        .clientSends("c1", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".repeat(3))
        .comment("the first answer is written")
        .unblockWrites();
    gateway
        .comment("a client that does not read")
        .blockWrites()
        .clientSends("c2", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        .advance(10050);
    gateway.assertMatches("net-pipelined");
  }

  /**
   * When an engine process is replaced by another one, under the same id or at the same address,
   * attempts for the new process must not be sent over connections to the old one.
   */
  @Test
  void nothingIsSentToAReplacedOrDrainingProcess() {
    GatewayFixture gateway =
        new GatewayFixture().post("c1", ID, "look").get("c1", ID).engineConnects(0);
    gateway
        .comment("the engine restarted with the same id, the other was removed")
        .discoveryAnswers(5, "e1 ready 127.0.0.1:5050 east std 0 1700000000000")
        .engineSends(0, "0 yes - 0||")
        .post("c2", "00000000000000a2", "look")
        .engineConnects(1);
    gateway
        .comment("an older list is ignored")
        .discoveryAnswers(4, "e9 ready 127.0.0.9:5050 east std 0 0")
        .engineSends(1, "0 yes - 0||")
        .post("c2", "00000000000000a3", "look");
    gateway
        .comment("another engine at its address")
        .discoveryAnswers(6, "e2 ready 127.0.0.1:5050 east std 0 0")
        .post("c3", "00000000000000a4", "look")
        .engineConnects(2);
    gateway
        .comment("restarted at another address while a connection opens: another is opened")
        .restart()
        .post("c1", ID, "book")
        .get("c1", ID)
        .discoveryAnswers(5, "e1 ready 127.0.0.3:5050 east std 0 1700000000000")
        .engineConnects(1);
    gateway
        .comment("drains while a connection to it opens: the attempt is not written")
        .restart()
        .post("c1", ID, "book")
        .get("c1", ID)
        .discoveryAnswers(
            5, "e1 draining 127.0.0.1:5050 east std 0 0", "e2 ready 127.0.0.2:5050 east std 0 0")
        .engineConnects(0);
    gateway
        .comment("drains while the attempt is buffered, because the engine does not read")
        .restart()
        .blockWrites()
        .post("c1", ID, "book")
        .get("c1", ID)
        .engineConnects(0)
        .discoveryAnswers(
            5, "e1 draining 127.0.0.1:5050 east std 0 0", "e2 ready 127.0.0.2:5050 east std 0 0")
        .advance(250)
        .engineDisconnects(0, DisconnectReason.RESET);
    gateway.assertMatches("net-news");
  }

  /**
   * Guards the deadlines of clients after a pause of the process: all input that follows the pause
   * without a gap may have arrived during it, so its deadlines count from the pause.
   */
  @Test
  void continuousInputAfterAPauseCountsFromThePause() {
    GatewayFixture gateway =
        new GatewayFixture()
            .advance(500)
            .comment("the process is paused, then the received input is read in parts")
            .pauseGateway(600);
    for (int i = 1; i <= 4; i++) {
      gateway.post("c" + i, "00000000000000a" + i, "look").advance(40);
    }
    gateway.comment("input after a gap").advance(100).post("c5", "00000000000000a5", "look");
    gateway
        .engineConnects(1)
        .engineConnects(2)
        .engineConnects(3)
        .engineConnects(5)
        .assertMatches("net-paused");
  }

  /**
   * A truncated answer of the discovery service must still drain the engines that it lists as
   * draining, and must not remove the engines for which it had no room.
   */
  @Test
  void truncatedDiscoveryAnswerStillDrainsEngines() {
    GatewayFixture gateway =
        new GatewayFixture()
            .comment("truncated: e1 drains, without its address; e2 is missing")
            .discoveryAnswersTruncated(5, "e1 draining 127.0.0.1:5050 east std 0 0");
    for (int i = 0; i < 3; i++) {
      gateway.post("c" + i, "00000000000000a" + i, "look").engineConnects(i);
    }
    gateway
        .comment("an older, truncated list")
        .discoveryAnswersTruncated(4, "e2 draining 127.0.0.2:5050 east std 0 0")
        .post("c4", "00000000000000a4", "look")
        .engineConnects(3);
    gateway
        .comment("the complete list with the same serial")
        .discoveryAnswers(
            5, "e2 ready 127.0.0.2:5050 east std 0 0", "e3 ready 127.0.0.3:5050 east std 0 0")
        .post("c5", "00000000000000a5", "look");
    gateway.assertMatches("net-partial");
  }

  /**
   * An attempt that was cancelled while its engine was not reading must not be there for the engine
   * to read later.
   */
  @Test
  void cancelledAttemptIsNotWrittenLater() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("c1", ID, "look")
            .get("c1", ID)
            .blockWrites()
            .engineConnects(0)
            .advance(100);
    gateway
        .comment("the request is cancelled; the engine has read nothing")
        .clientSends("c2", "DELETE /v1/calls/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n")
        .advance(150)
        .engineDisconnects(0, DisconnectReason.RESET);
    gateway
        .comment("the engine has read the whole attempt")
        .unblockWrites()
        .post("c3", "00000000000000a2", "look")
        .get("c3", "00000000000000a2")
        .engineConnects(1)
        .clientSends("c4", "DELETE /v1/calls/00000000000000a2 HTTP/1.1\r\nHost: a\r\n\r\n")
        .advance(200);
    gateway.assertMatches("net-given-up");
  }

  /**
   * If a request class preserves the order of requests with the same subject, the next request is
   * sent only after the previous one has ended.
   */
  @Test
  void requestsWithTheSameSubjectKeepTheirOrder() {
    GatewayFixture gateway =
        new GatewayFixture()
            .postOrdered("c1", "00000000000000a1", "x")
            .postOrdered("c2", "00000000000000a2", "x")
            .engineConnects(0);
    gateway
        .comment("another subject does not wait")
        .postOrdered("c3", "00000000000000a3", "y")
        .engineConnects(1);
    gateway
        .comment("the first request has ended")
        .engineSends(0, "00000000000000a1 ok count=1 0||")
        .assertMatches("net-order");
  }

  @Test
  void drainAnswersPendingRequestsAndRefusesNewOnes() {
    GatewayFixture gateway =
        new GatewayFixture()
            .post("c1", ID, "look")
            .get("c1", ID)
            .engineConnects(0)
            .comment("the drain begins")
            .drain();
    gateway
        .clientSends("c2", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        .printWhetherAllAnswered()
        .post("c2", "00000000000000a2", "look");
    gateway
        .engineSends(0, ID + " ok count=1 0||")
        .printWhetherAllAnswered()
        .comment("the shutdown deadline passes")
        .passShutdownDeadline()
        .get("c2", "00000000000000a2")
        .printWhetherAllAnswered()
        .assertMatches("net-drain");
  }

  /**
   * In a fleet with more engines than connections, each engine must be reachable. The connection
   * that has been idle longest is closed to make room for a new one.
   */
  @Test
  void longestIdleConnectionIsClosedIfEnginesOutnumberConnections() {
    GatewayFixture gateway =
        new GatewayFixture()
            .fleet(40, 12)
            .comment("40 engines, four connections: an attempt on each");
    for (int i = 0; i < 4; i++) {
      gateway.post("c" + i, "00000000000000b" + i, "look").engineConnects(i);
    }
    gateway
        .comment("no connection is idle")
        .post("c4", "00000000000000b4", "look")
        .comment("the second connection is idle longer than the first")
        .engineSends(1, "00000000000000b1 ok count=1 0||")
        .advance(20)
        .engineSends(0, "00000000000000b0 ok count=1 0||");
    gateway.post("c5", "00000000000000b5", "look").assertMatches("net-many-engines");
  }

  /**
   * The defaults of omitted settings derive from the shortest latency objective (400 ms here) and
   * the longest deadline (5 s) and not from constants of the program.
   */
  @Test
  void omittedSettingsHaveDefaults() {
    GatewayFixture gateway =
        new GatewayFixture()
            .withMinimalSettings()
            .post("c1", ID, "look")
            .get("c1", ID)
            .comment("connection not open within a latency objective")
            .advance(399)
            .advance(2);
    gateway
        .comment("the next connection opens")
        .post("c2", OTHER_ID, "look")
        .get("c2", OTHER_ID)
        .engineConnects(1)
        .engineSends(1, OTHER_ID + " ok count=1 6|a\t1\tx\n|");
    gateway
        .comment("idle for less than a deadline")
        .advance(4_800)
        .comment("idle for longer than a deadline")
        .advance(400)
        .assertMatches("net-unstated");
    int queriesBefore = gateway.silenceDiscovery().discoveryQueries();
    gateway.advance(40_000);
    int queries = gateway.discoveryQueries() - queriesBefore;
    assertTrue(
        queries >= 95 && queries <= 105,
        queries + " discovery queries in 100 latency objectives, expected 95 to 105");
  }
}
