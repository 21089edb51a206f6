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
 * Tests of what the gateway must still do when something ends: a client disconnects, a connection
 * closes, the gateway shuts down or the discovery service stops answering. They use real
 * connections; docs/endings.md lists the cases.
 */
@Timeout(60)
class EndingsTest {
  private static final String FIRST_ID = "00000000000000a1";
  private static final String SECOND_ID = "00000000000000a2";
  private static final String EMPTY_RESULT = "{\"records\":[]}";

  private Loopback loopback;

  @AfterEach
  void closeLoopback() throws IOException {
    loopback.close();
  }

  // ---- clients that disconnect ----

  /**
   * Guards against load on engines for a client that has disconnected: after its attempt is
   * refused, no further attempt begins until the client asks for the result again.
   */
  @Test
  void noAttemptBeginsWhileNobodyWaits() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectAndSubmit(FIRST_ID, "look", 4500);
    Peer engine = awaitAttempt(client);
    loopback.holdIteration();
    client.close();
    loopback.awaitEvents(1);
    engine.send(FIRST_ID + " refused - 0\r\n\r\n");
    loopback.awaitEvents(2);
    loopback.releaseIteration();
    assertOthersServed(engine, SECOND_ID);
    Peer returningClient = loopback.connectClient();
    returningClient.get(FIRST_ID);
    Peer nextEngine = loopback.acceptEngine(0);
    assertEquals(FIRST_ID, nextEngine.nextAttemptId());
    nextEngine.send(FIRST_ID + " ok count=1 0\r\n\r\n");
    returningClient.expectBody(EMPTY_RESULT);
  }

  /**
   * Guards against a race between the decision to send an attempt and its write: the client has
   * closed its connection in between, but the close has not been read yet.
   */
  @Test
  void noAttemptIsWrittenForAClientWhoseCloseIsUnread() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectAndSubmit(FIRST_ID, "look", 4500);
    Peer engine = awaitAttempt(client);
    loopback.runIterations();
    loopback.holdIteration();
    loopback.deliverOnly(1);
    engine.send(FIRST_ID + " refused - 0\r\n\r\n");
    loopback.awaitEvents(1);
    client.close();
    loopback.releaseIteration();
    loopback.deliverAll();
    assertOthersServed(engine, SECOND_ID);
  }

  /**
   * Guards against an attempt for a client that disconnects while the connection to the engine is
   * being established.
   */
  @Test
  void noAttemptIsWrittenForAClientThatLeftDuringTheConnect() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectFirstClient();
    loopback.delayNextOpenedConnection();
    client.post(FIRST_ID, "look", 4500);
    client.expectBody("{\"continue\":\"/v1/calls/" + FIRST_ID + "\"}");
    Peer engine = loopback.acceptEngine(0);
    Loopback.await(loopback::hasDelayedEvent, "the connection to the engine is not established");
    loopback.holdIteration();
    client.close();
    loopback.awaitEvents(1);
    loopback.deliverDelayedEvent();
    loopback.releaseIteration();
    assertOthersServed(engine, SECOND_ID);
  }

  /**
   * Guards a request class whose requests may be repeated only within a time window: the window
   * ends while the connection for the retry is being established.
   */
  @Test
  void noRetryIsWrittenOnceItsWindowEndedDuringTheConnect() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectAndSubmit(FIRST_ID, "load", 4500);
    Peer engine = awaitAttempt(client);
    loopback.runIterations();
    loopback.holdIteration();
    loopback.delayNextOpenedConnection();
    engine.reset();
    loopback.awaitEvents(1);
    loopback.releaseIteration();
    Peer nextEngine = loopback.acceptEngine(0);
    Loopback.await(loopback::hasDelayedEvent, "the connection to the engine is not established");
    loopback.advance(200, 50);
    loopback.deliverDelayedEvent();
    client.expectBody("{\"problem\":\"Full\"}");
    assertOthersServed(nextEngine, SECOND_ID);
  }

  // ---- connections that close ----

  /**
   * Guards the last response on a connection: a close while received bytes are still unread would
   * reset the connection and discard the response.
   */
  @Test
  void closeOverUnreadBytesResetsNoConnection() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectClient();
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
   * Guards a request that has arrived but was not read yet when the idle timeout of its connection
   * expires: the request is served.
   */
  @Test
  void requestUnreadAtTheIdleTimeoutIsServed() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectClient();
    client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    client.expectBody("{}");
    loopback.runIterations();
    loopback.deliverOnly(0);
    client.post(FIRST_ID, "look", 4500);
    loopback.advance(5125, 125);
    loopback.deliverAll();
    client.expectBody("{\"continue\":\"/v1/calls/" + FIRST_ID + "\"}");
  }

  /**
   * Guards a request that a client sends just after the gateway closed its idle connection: the
   * client sees a regular close, and the request is not forwarded to an engine.
   */
  @Test
  void requestAfterAnIdleCloseIsNotSentOn() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectClient();
    client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    client.expectBody("{}");
    loopback.runIterations();
    loopback.advance(5125, 125);
    client.post(FIRST_ID, "look", 4500);
    client.expectEnd();
    loopback.runIterations();
    loopback.assertNoFurtherConnection(0);
  }

  /**
   * Guards a request that was received in part when the gateway stops accepting requests: although
   * nothing else is pending, the shutdown waits for the rest of the request.
   */
  @Test
  void shutdownWaitsForARequestThatIsHalfRead() throws Exception {
    loopback = new Loopback(1);
    Peer client = loopback.connectClient();
    loopback.runIterations();
    loopback.holdIteration();
    String text = Peer.postRequest(FIRST_ID, "look", 4500);
    client.send(text.substring(0, 60));
    loopback.awaitEvents(1);
    loopback.releaseIteration();
    GracefulShutdown shutdown = loopback.evaluate(GracefulShutdown::new);
    long shutdownAt = loopback.now();
    loopback.evaluate(
        gateway -> {
          shutdown.begin(shutdownAt);
          return shutdown.isComplete(shutdownAt + 7000);
        });
    boolean complete = loopback.evaluate(gateway -> shutdown.isComplete(shutdownAt + 12_000));
    assertFalse(complete);
    client.send(text.substring(60));
    client.expectBody("{\"problem\":\"Full\"}");
    client.expectHalfClose();
    loopback.assertNoFurtherConnection(0);
    client.close();
    Loopback.await(
        () -> loopback.evaluate(gateway -> shutdown.isComplete(shutdownAt + 13_000)),
        "the shutdown does not complete");
  }

  // ---- the discovery service ----

  /**
   * Guards the grace period of drains: a socket to the discovery service that stays silent must be
   * detected and replaced within that period.
   */
  @Test
  void silentPathToTheDiscoveryServiceIsReplacedWithinTheGrace() throws Exception {
    loopback = new Loopback(1);
    SocketAddress firstSource = answerNextQuery(2);
    // One grace period at most, plus an eighth of it to detect the silence.
    for (int ms = 0; ms < 850; ms += 25) {
      loopback.advance(25, 25);
    }
    loopback.discoveryService.setSoTimeout(1);
    DatagramPacket query = new DatagramPacket(new byte[512], 512);
    query.setSocketAddress(firstSource);
    while (firstSource.equals(query.getSocketAddress())) {
      loopback.discoveryService.receive(query);
    }
    assertNotEquals(firstSource, query.getSocketAddress());
  }

  /**
   * Guards a reloaded configuration: a query that is still unanswered at the old address of the
   * discovery service is repeated at the new address immediately.
   */
  @Test
  void outstandingQueryIsRepeatedAtTheNewDiscoveryAddress() throws Exception {
    loopback = new Loopback(1);
    SocketAddress asker = answerNextQuery(2);
    loopback.advance(400, 25);
    DatagramPacket repeated = loopback.receiveQuery(loopback.discoveryService);
    assertEquals(asker, repeated.getSocketAddress());
    try (DatagramSocket moved =
        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
      moved.setSoTimeout(Loopback.TIMEOUT_MS);
      loopback.moveDiscoveryService((InetSocketAddress) moved.getLocalSocketAddress());
      loopback.receiveQuery(moved);
    }
  }

  /**
   * Answers the next discovery query with the engine as ready.
   *
   * @param index the serial number of the answer
   * @return the address from which the query was sent
   */
  private SocketAddress answerNextQuery(int index) throws Exception {
    loopback.advance(400, 25);
    DatagramPacket query = loopback.receiveQuery(loopback.discoveryService);
    byte[] list =
        DiscoveryAnswers.of(
            DiscoveryAnswers.queryId(query.getData()),
            index,
            "e1 ready 127.0.0.1:" + loopback.engines.get(0).getLocalPort() + " east std 0 0");
    loopback.holdIteration();
    loopback.discoveryService.send(new DatagramPacket(list, list.length, query.getSocketAddress()));
    loopback.awaitEvents(1);
    loopback.releaseIteration();
    return query.getSocketAddress();
  }

  /**
   * Lets the client wait for the result of its request.
   *
   * @return the engine connection on which the attempt was received
   */
  private Peer awaitAttempt(Peer client) throws IOException {
    client.get(FIRST_ID);
    Peer engine = loopback.acceptEngine(0);
    assertEquals(FIRST_ID, engine.nextAttemptId());
    return engine;
  }

  /**
   * Asserts that another client is served over the engine connection, and that in the meantime
   * nothing else was sent on it and no further connection was opened.
   */
  private void assertOthersServed(Peer engine, String id) throws IOException {
    Peer other = loopback.connectAndSubmit(id, "look", 4500);
    other.get(id);
    assertEquals(id, engine.nextAttemptId());
    engine.send(id + " ok count=1 0\r\n\r\n");
    other.expectBody(EMPTY_RESULT);
    loopback.assertNoFurtherConnection(0);
  }
}
