package tillerlink.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tillerlink.net.lifecycle.Loopback.Peer;
import tillerlink.net.state.Gateway;

/**
 * Tests that no attempt begins for a client that has gone, in each way in which it may go, with any
 * number of requests on its connection, and also if its close waits behind bytes that were not
 * read. They use real connections.
 */
@Timeout(120)
class ClientDepartureTest {
  private static final String OTHER_ID = "00000000000000ff";
  private static final String EMPTY_RESULT = "{\"records\":[]}";
  private static final String HEALTH_CALL = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final int DEADLINE_MS = 4500;

  /** The gateway reads at least this many bytes behind a request in progress. */
  private static final int INPUT_LIMIT_BYTES = 147_456;

  private static final Pattern RETAINED_GAUGE =
      Pattern.compile("(?m)^tillerlink_client_memory_retained_bytes ([0-9]+)$");

  /** Calls of more bytes than the gateway reads behind a request in progress. */
  private static final String CALLS_BEYOND_THE_INPUT_LIMIT =
      HEALTH_CALL.repeat(400_000 / HEALTH_CALL.length());

  /** Calls of more bytes than the gateway reads at once, but fewer than the input limit. */
  private static final String CALLS_OF_SEVERAL_READS =
      HEALTH_CALL.repeat(60_000 / HEALTH_CALL.length());

  /** A way in which a client ends its connection. */
  private enum Departure {
    CLOSE {
      @Override
      void from(Peer client) throws IOException {
        client.close();
      }
    },
    HALF_CLOSE {
      @Override
      void from(Peer client) throws IOException {
        client.socket.shutdownOutput();
      }
    },
    RESET {
      @Override
      void from(Peer client) throws IOException {
        client.reset();
      }
    };

    abstract void from(Peer client) throws IOException;
  }

  /** An attempt that an engine received. */
  private record ReceivedAttempt(Peer engine, String id) {
    void refuse() throws IOException {
      engine.send(id + " refused - 0\r\n\r\n");
    }
  }

  private final BlockingQueue<ReceivedAttempt> attempts = new LinkedBlockingQueue<>();
  private Loopback loopback;

  @AfterEach
  void closeLoopback() throws IOException {
    loopback.close();
  }

  /**
   * Guards engines against work that nobody waits for: the client has submitted several requests on
   * its connection, of which the gateway once knew only the last when the connection ended.
   */
  @Test
  void noAttemptBeginsForAnyRequestOfAConnectionThatHasEnded() throws Exception {
    for (Departure departure : Departure.values()) {
      for (int count : new int[] {1, 2, 7}) {
        startGateway();
        Peer client = loopback.connectClient();
        List<ReceivedAttempt> received = submit(client, count);
        departure.from(client);
        awaitNoClient();
        assertNotRepeated(departure + " with " + count + " requests", received);
        loopback.close();
      }
    }
  }

  /** Guards engines against work for requests that their client has cancelled, one by one. */
  @Test
  void noAttemptBeginsForCancelledRequests() throws Exception {
    startGateway();
    Peer client = loopback.connectClient();
    List<ReceivedAttempt> received = submit(client, 7);
    Peer cancelling = loopback.connectClient();
    StringBuilder cancellations = new StringBuilder();
    for (ReceivedAttempt attempt : received) {
      cancellations.append("DELETE /v1/calls/" + attempt.id() + " HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    cancelling.send(cancellations.toString());
    for (int i = 0; i < received.size(); i++) {
      cancelling.expectBody("{}");
    }
    assertNotRepeated("cancelled", received);
  }

  /**
   * Guards the requests of a client that sends more calls behind its poll than the gateway reads:
   * while its close may wait behind them, no attempt begins for it.
   */
  @Test
  void noAttemptBeginsWhileInputBeyondTheLimitIsUnread() throws Exception {
    for (Departure departure : Departure.values()) {
      startGateway();
      Peer client = loopback.connectClient();
      List<ReceivedAttempt> received = submit(client, 2);
      client.get(received.get(0).id());
      sendBeyondTheInputLimit(client);
      departure.from(client);
      assertNotRepeated(departure + " behind unread input", received);
      loopback.close();
    }
  }

  /** A client that stays is answered, and the calls behind its poll are read on after that. */
  @Test
  void callsBeyondTheInputLimitAreReadOnceThePollIsAnswered() throws Exception {
    startGateway();
    Peer client = loopback.connectClient();
    List<ReceivedAttempt> received = submit(client, 1);
    client.get(received.get(0).id());
    int calls = CALLS_BEYOND_THE_INPUT_LIMIT.length() / HEALTH_CALL.length();
    sendBeyondTheInputLimit(client);
    received.get(0).engine().send(received.get(0).id() + " ok count=1 0\r\n\r\n");
    client.expectBody(EMPTY_RESULT);
    for (int i = 0; i < calls; i++) {
      client.expectBody("{}");
    }
  }

  /**
   * Guards against a race between the decision to send an attempt and its write: the client has
   * closed its connection in between, and the close waits behind bytes that take several reads.
   */
  @Test
  void closeBehindSeveralReadsIsNoticedBeforeTheAttempt() throws Exception {
    for (Departure departure : List.of(Departure.CLOSE, Departure.HALF_CLOSE)) {
      startGateway();
      Peer client = loopback.connectFirstClient();
      loopback.holdIteration();
      client.send(
          Peer.postRequest("0000000000000001", "look", DEADLINE_MS) + CALLS_OF_SEVERAL_READS);
      departure.from(client);
      loopback.awaitEvents(2);
      loopback.releaseIteration();
      assertNotRepeated(departure + " behind several reads", List.of());
      loopback.close();
    }
  }

  /** The same race, while the connection to the engine is being established. */
  @Test
  void closeBehindSeveralReadsIsNoticedAfterTheConnect() throws Exception {
    startGateway();
    Peer client = loopback.connectFirstClient();
    loopback.delayNextOpenedConnection();
    client.post("0000000000000001", "look", DEADLINE_MS);
    client.expectBody("{\"continue\":\"/v1/calls/0000000000000001\"}");
    Loopback.await(loopback::hasDelayedEvent, "the connection to the engine is not established");
    loopback.holdIteration();
    client.send(CALLS_OF_SEVERAL_READS);
    client.close();
    loopback.awaitEvents(2);
    loopback.deliverDelayedEvent();
    loopback.releaseIteration();
    assertNotRepeated("close during the connect", List.of());
  }

  // ---- the gateway, its clients and its engine ----

  private void startGateway() throws IOException {
    attempts.clear();
    loopback = new Loopback(1);
    FakeEngine.runInBackground(
        () -> {
          while (true) {
            Peer engine = loopback.acceptEngine(0);
            FakeEngine.runInBackground(() -> receiveAttempts(engine));
          }
        });
  }

  private void receiveAttempts(Peer engine) throws IOException {
    for (String id = engine.nextAttemptId(); id != null; id = engine.nextAttemptId()) {
      attempts.add(new ReceivedAttempt(engine, id));
    }
  }

  /** Submits requests on one connection and waits until the engine has an attempt of each. */
  private List<ReceivedAttempt> submit(Peer client, int count) throws Exception {
    List<ReceivedAttempt> received = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      String id = String.format("%016x", i);
      client.post(id, "look", DEADLINE_MS);
      client.expectBody("{\"continue\":\"/v1/calls/" + id + "\"}");
      received.add(nextAttempt());
    }
    return received;
  }

  private ReceivedAttempt nextAttempt() throws InterruptedException {
    ReceivedAttempt attempt = attempts.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertNotNull(attempt, "expected an attempt");
    return attempt;
  }

  private void awaitNoClient() {
    Loopback.await(
        () -> loopback.evaluate(Gateway::hasNoClients), "the client's connection has not ended");
  }

  /**
   * Refuses attempts, which usually leads to another attempt of each request, and asserts that the
   * only further attempts are those of another client.
   */
  private void assertNotRepeated(String message, List<ReceivedAttempt> received) throws Exception {
    for (ReceivedAttempt attempt : received) {
      attempt.refuse();
    }
    loopback.advance(50, 25);
    Peer other = loopback.connectClient();
    other.post(OTHER_ID, "look", DEADLINE_MS);
    other.expectBody("{\"continue\":\"/v1/calls/" + OTHER_ID + "\"}");
    other.get(OTHER_ID);
    ReceivedAttempt attempt = nextAttempt();
    assertEquals(OTHER_ID, attempt.id(), message);
    attempt.engine().send(OTHER_ID + " ok count=1 0\r\n\r\n");
    other.expectBody(EMPTY_RESULT);
    loopback.advance(50, 25);
    assertEquals(List.of(), List.copyOf(attempts), message);
  }

  /**
   * Sends more calls than the gateway reads, waits until it reads no more of them, and lets it
   * check its connections.
   */
  private void sendBeyondTheInputLimit(Peer client) throws IOException {
    Peer observer = loopback.connectClient();
    long before = retainedBytes(observer);
    FakeEngine.runInBackground(() -> client.send(CALLS_BEYOND_THE_INPUT_LIMIT));
    long retained = before;
    for (int unchanged = 0; unchanged < 50 || retained < before + INPUT_LIMIT_BYTES; unchanged++) {
      long latest = retainedBytes(observer);
      unchanged = latest == retained ? unchanged : 0;
      retained = latest;
    }
    observer.close();
    loopback.advance(150, 50);
  }

  private static long retainedBytes(Peer observer) throws IOException {
    observer.send("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    Matcher gauge = RETAINED_GAUGE.matcher(observer.readBody());
    assertTrue(gauge.find());
    return Long.parseLong(gauge.group(1));
  }
}
