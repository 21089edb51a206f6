package tillerlink.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tillerlink.DiscoveryAnswers;
import tillerlink.net.lifecycle.Loopback.Peer;

/**
 * What is still owed at the instant in which something ends, on real connections; docs/endings.md
 * lists them.
 */
@Timeout(60)
class EndingsTest {
  private static final String ONE = "00000000000000a1";
  private static final String TWO = "00000000000000a2";
  private static final String ROWS = "{\"records\":[]}";

  private Loopback loopback;

  @AfterEach
  void end() throws IOException {
    loopback.close();
  }

  // ---- clients that leave ----

  /** Guards engines: a client whose poll ended is asked for nothing new until it calls again. */
  @Test
  void noAttemptBeginsWhileNobodyWaits() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.posted(ONE, "look", 4500);
    Peer engine = awaitAttempt(client);
    loopback.holdIteration();
    client.close();
    loopback.awaitEvents(1);
    engine.send(ONE + " refused - 0\r\n\r\n");
    loopback.awaitEvents(2);
    loopback.releaseIteration();
    assertOthersServed(engine, TWO);
    Peer returningClient = loopback.client();
    returningClient.get(ONE);
    Peer nextEngine = loopback.engine(0);
    assertEquals(ONE, nextEngine.nextAttemptId());
    nextEngine.send(ONE + " ok count=1 0\r\n\r\n");
    returningClient.expectBody(ROWS);
  }

  /**
   * Guards against the instant between a decision and its write: the close had come and was not
   * read yet.
   */
  @Test
  void noAttemptIsWrittenForAClientWhoseCloseIsUnread() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.posted(ONE, "look", 4500);
    Peer engine = awaitAttempt(client);
    loopback.runIterations();
    loopback.holdIteration();
    loopback.deliverOnly(1);
    engine.send(ONE + " refused - 0\r\n\r\n");
    loopback.awaitEvents(1);
    client.close();
    loopback.releaseIteration();
    loopback.deliverAll();
    assertOthersServed(engine, TWO);
  }

  /** Guards against a connection to an engine that comes up after its client has left. */
  @Test
  void noAttemptIsWrittenForAClientThatLeftDuringTheConnect() throws Exception {
    loopback = new Loopback(1);
    // The client's connection, its call, the pass before the attempt, the written answer: then the
    // engine's connection.
    loopback.delayEventAfter(4);
    Peer client = loopback.posted(ONE, "look", 4500);
    Peer engine = loopback.engine(0);
    Loopback.await(loopback::hasDelayedEvent, "the connection does not come up");
    loopback.holdIteration();
    client.close();
    loopback.awaitEvents(1);
    loopback.deliverDelayedEvent();
    loopback.releaseIteration();
    assertOthersServed(engine, TWO);
  }

  /**
   * Guards a class that may be repeated for a short time only: it passes while the connection for
   * the repeat comes up.
   */
  @Test
  void noRetryIsWrittenOnceItsWindowEndedDuringTheConnect() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.posted(ONE, "load", 4500);
    Peer engine = awaitAttempt(client);
    loopback.runIterations();
    loopback.holdIteration();
    // The reset, then the pass before the repeat: then the connection for it.
    loopback.delayEventAfter(2);
    engine.reset();
    loopback.awaitEvents(1);
    loopback.releaseIteration();
    Peer nextEngine = loopback.engine(0);
    Loopback.await(loopback::hasDelayedEvent, "the connection does not come up");
    loopback.advance(200, 50);
    loopback.deliverDelayedEvent();
    client.expectBody("{\"problem\":\"Full\"}");
    assertOthersServed(nextEngine, TWO);
  }

  // ---- connections that close ----

  /**
   * Guards the last answer: a close over bytes that are still unread would reset the connection.
   */
  @Test
  void closeOverUnreadBytesResetsNoConnection() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.client();
    loopback.runIterations();
    loopback.holdIteration();
    loopback.deliverOnly(1);
    client.send(
        "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + "x".repeat(60_000));
    loopback.awaitEvents(1);
    loopback.releaseIteration();
    loopback.deliverAll();
    client.expectBody("{}");
    client.expectHalfClose();
  }

  /**
   * Guards a call that has come, and was not yet read, when its connection has rested too long: it
   * is served.
   */
  @Test
  void requestUnreadAtTheIdleTimeoutIsServed() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.client();
    client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    client.expectBody("{}");
    loopback.runIterations();
    loopback.deliverOnly(0);
    client.post(ONE, "look", 4500);
    loopback.advance(5125, 125);
    loopback.deliverAll();
    client.expectBody("{\"continue\":\"/v1/calls/" + ONE + "\"}");
  }

  /**
   * Guards what a client says right after its idle connection was ended: a close that it can tell,
   * and nothing is sent on.
   */
  @Test
  void requestAfterAnIdleCloseIsNotSentOn() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.client();
    client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    client.expectBody("{}");
    loopback.runIterations();
    loopback.advance(5125, 125);
    client.post(ONE, "look", 4500);
    client.expectEnd();
    loopback.runIterations();
    loopback.assertNoFurtherConnection(0);
  }

  /**
   * Guards a call of which half has come when nothing further is taken, and nothing else is owed:
   * it is waited for.
   */
  @Test
  void shutdownWaitsForARequestThatIsHalfRead() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.client();
    loopback.runIterations();
    loopback.holdIteration();
    String text = Peer.postRequest(ONE, "look", 4500);
    client.send(text.substring(0, 60));
    loopback.awaitEvents(1);
    loopback.releaseIteration();
    GracefulShutdown shutdown = loopback.ask(GracefulShutdown::new);
    long shutdownAt = loopback.now();
    loopback.ask(
        gateway -> {
          shutdown.begin(shutdownAt);
          return shutdown.isComplete(shutdownAt + 7000);
        });
    boolean complete = loopback.ask(gateway -> shutdown.isComplete(shutdownAt + 12_000));
    assertFalse(complete);
    client.send(text.substring(60));
    client.expectBody("{\"problem\":\"Full\"}");
    client.expectHalfClose();
    loopback.assertNoFurtherConnection(0);
    client.close();
    Loopback.await(
        () -> loopback.ask(gateway -> shutdown.isComplete(shutdownAt + 13_000)), "it does not end");
  }

  // ---- the discovery service ----

  /**
   * Guards drains: a way to the discovery service that falls silent for good is noticed and another
   * taken within the grace.
   */
  @Test
  void silentPathToTheDiscoveryServiceIsReplacedWithinTheGrace() throws Exception {
    loopback = new Loopback(1);
    SocketAddress first = answerNextQuery(2);
    // For a whole grace at the most, and an eighth of it to notice in.
    for (int ms = 0; ms < 850; ms += 25) {
      loopback.advance(25, 25);
    }
    loopback.discoveryService.setSoTimeout(1);
    DatagramPacket question = new DatagramPacket(new byte[512], 512);
    question.setSocketAddress(first);
    while (first.equals(question.getSocketAddress())) {
      loopback.discoveryService.receive(question);
    }
    assertNotEquals(first, question.getSocketAddress());
  }

  /**
   * Guards a new configuration: what was asked at the old address is asked at the new one at once.
   */
  @Test
  void outstandingQueryIsRepeatedAtTheNewDiscoveryAddress() throws Exception {
    loopback = new Loopback(1);
    SocketAddress asker = answerNextQuery(2);
    loopback.advance(400, 25);
    DatagramPacket out = loopback.receiveQuery(loopback.discoveryService);
    assertEquals(asker, out.getSocketAddress());
    try (DatagramSocket moved =
        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
      moved.setSoTimeout(Loopback.PATIENCE_MS);
      loopback.moveDiscoveryService((InetSocketAddress) moved.getLocalSocketAddress());
      loopback.receiveQuery(moved);
    }
  }

  /**
   * Answers the next question with that number and the engine as it is; from where it was asked.
   */
  private SocketAddress answerNextQuery(int index) throws Exception {
    loopback.advance(400, 25);
    DatagramPacket question = loopback.receiveQuery(loopback.discoveryService);
    byte[] list =
        DiscoveryAnswers.of(
            DiscoveryAnswers.queryId(question.getData()),
            index,
            "e1 ready 127.0.0.1:" + loopback.engines.get(0).getLocalPort() + " east std 0 0");
    loopback.holdIteration();
    loopback.discoveryService.send(
        new DatagramPacket(list, list.length, question.getSocketAddress()));
    loopback.awaitEvents(1);
    loopback.releaseIteration();
    return question.getSocketAddress();
  }

  /** The client waits; the engine that has what it asked for. */
  private Peer awaitAttempt(Peer client) throws IOException {
    client.get(ONE);
    Peer engine = loopback.engine(0);
    assertEquals(ONE, engine.nextAttemptId());
    return engine;
  }

  /**
   * Another client is served on that connection, and meanwhile nothing else was sent there, nor
   * over a further one.
   */
  private void assertOthersServed(Peer engine, String id) throws IOException {
    Peer other = loopback.posted(id, "look", 4500);
    other.get(id);
    assertEquals(id, engine.nextAttemptId());
    engine.send(id + " ok count=1 0\r\n\r\n");
    other.expectBody(ROWS);
    loopback.assertNoFurtherConnection(0);
  }
}
