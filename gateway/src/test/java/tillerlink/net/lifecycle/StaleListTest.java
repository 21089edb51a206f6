package tillerlink.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.net.lifecycle.Loopback.Peer;

/**
 * Tests that no attempt is sent to a draining engine after its grace period, although the gateway
 * could not learn of the drain in time: it started slowly, was paused, or answers of the discovery
 * service were lost. Uses real processes, signals and sockets; the assertions use what the engines
 * and the discovery service recorded.
 */
@Timeout(120)
class StaleListTest {
  /**
   * The pause between bursts of five requests. A result is retained for one second after it was
   * fetched, and the gateway retains 4,096 requests at most, so at a higher rate requests would be
   * rejected for lack of capacity.
   */
  private static final long BURST_PAUSE_MS = 3;

  private static final String DRAINING_ENGINE = "e1";
  private static final String STAYING_ENGINE = "e2";
  private static final long GRACE_MS = 1000;

  /** The tolerance for a send after the grace period, because the test uses real sockets. */
  private static final long SLACK_MS = 50;

  /** The time after which the gateway counts as notified of a drain. */
  private static final long NOTIFIED_MS = 1500;

  private static final int DEADLINE_MS = 8000;

  /** The tolerance by which the limit sent to an engine may exceed the client's remaining time. */
  private static final long LIMIT_SLACK_MS = 150;

  private static final long PAST_THE_GRACE_MS = NOTIFIED_MS + GRACE_MS + 300;

  /** The time within which a client must send its first request after it connected. */
  private static final long FIRST_REQUEST_MS = 2500;

  @TempDir private Path folder;
  private FakeNameService discoveryService;
  private FakeEngine draining;
  private FakeEngine staying;
  private GatewayProcess gateway;
  private int lastId;

  @BeforeEach
  void startFakes() throws IOException {
    discoveryService = new FakeNameService();
    draining = new FakeEngine();
    staying = new FakeEngine();
    discoveryService.addReady(DRAINING_ENGINE, draining.port());
    discoveryService.addReady(STAYING_ENGINE, staying.port());
  }

  @AfterEach
  void end() throws IOException {
    gateway.close();
    discoveryService.close();
    draining.close();
    staying.close();
  }

  /**
   * Guards a start that takes longer than the grace period: the engine begins to drain while the
   * process is paused before it listens. The endpoint list in the configuration is older than the
   * drain, of which the gateway counts as notified before it serves its first request.
   */
  @Test
  void drainDuringASlowStartIsHonoured() throws Exception {
    discoveryService.delayAnswers(300);
    start();
    gateway.process().errorReader(StandardCharsets.UTF_8).readLine();
    gateway.signal("STOP");
    discoveryService.beginDrain(DRAINING_ENGINE);
    Thread.sleep(PAST_THE_GRACE_MS);
    gateway.signal("CONT");
    awaitListening();
    burst(40);
    assertDrainHonoured(40);
  }

  /**
   * Guards a pause of the process in which requests arrive: when the process continues, it reads
   * them before the endpoint update that states the drain.
   */
  @Test
  void drainDuringAPauseIsHonoured() throws Exception {
    discoveryService.delayAnswers(300);
    start();
    awaitListening();
    burst(10);
    gateway.signal("STOP");
    discoveryService.beginDrain(DRAINING_ENGINE);
    Thread.sleep(PAST_THE_GRACE_MS);
    List<Peer> waiting = clients(40);
    for (Peer client : waiting) {
      post(client);
    }
    gateway.signal("CONT");
    for (Peer client : waiting) {
      fetch(client);
    }
    assertDrainHonoured(50);
  }

  /**
   * Guards clients that connected before a pause and send their first requests during it: their
   * connections must not be closed as idle before the requests are read.
   */
  @Test
  void whatCameDuringAPauseIsReadBeforeAnyConnectionIsClosed() throws Exception {
    start();
    awaitListening();
    burst(10);
    List<Peer> waiting = clients(40);
    awaitAccepted();
    gateway.signal("STOP");
    for (Peer client : waiting) {
      post(client);
    }
    Thread.sleep(FIRST_REQUEST_MS + 200);
    gateway.signal("CONT");
    for (Peer client : waiting) {
      fetch(client);
    }
  }

  /**
   * Guards the limits that engines get after a pause: the remaining time of a client counts from
   * when the client wrote its request, not from when the gateway read it.
   */
  @Test
  void deadlinesCountFromTheClientsWriteAfterAPause() throws Exception {
    start();
    awaitListening();
    burst(10);
    List<Peer> waiting = clients(20);
    awaitAccepted();
    gateway.signal("STOP");
    long postedAt = System.nanoTime();
    for (Peer client : waiting) {
      post(client);
    }
    Thread.sleep(2000);
    gateway.signal("CONT");
    for (Peer client : waiting) {
      fetch(client);
    }
    List<FakeEngine.Attempt> attempts = new ArrayList<>(draining.attempts());
    attempts.addAll(staying.attempts());
    attempts.removeIf(attempt -> attempt.receivedAt() < postedAt);
    assertEquals(20, attempts.size());
    long maxLimitMs =
        attempts.stream()
            .mapToLong(
                attempt ->
                    attempt.limitMs()
                        + TimeUnit.NANOSECONDS.toMillis(attempt.receivedAt() - postedAt))
            .max()
            .orElseThrow();
    assertTrue(
        maxLimitMs <= DEADLINE_MS + LIMIT_SLACK_MS,
        "limit exceeds the remaining time of the client by " + (maxLimitMs - DEADLINE_MS) + " ms");
  }

  /** Guards against the loss of several consecutive answers that state the drain. */
  @Test
  void drainIsHonouredWhenConsecutiveAnswersAreLost() throws Exception {
    start();
    awaitListening();
    burst(10);
    discoveryService.beginDrainAndLoseAnswers(DRAINING_ENGINE, NOTIFIED_MS);
    long startedAt = System.nanoTime();
    int requests = 10;
    while (System.nanoTime() < startedAt + TimeUnit.MILLISECONDS.toNanos(4000)) {
      burst(5);
      requests += 5;
      Thread.sleep(BURST_PAUSE_MS);
    }
    assertDrainHonoured(requests);
  }

  /**
   * Asserts that the draining engine got no attempt after its grace period.
   *
   * @param requests the number of requests sent, each of which must have led to an attempt
   */
  private void assertDrainHonoured(int requests) {
    long until =
        discoveryService.notifiedAt(DRAINING_ENGINE)
            + TimeUnit.MILLISECONDS.toNanos(GRACE_MS + SLACK_MS);
    List<Long> late =
        draining.attempts().stream()
            .map(FakeEngine.Attempt::receivedAt)
            .filter(at -> at > until)
            .toList();
    assertEquals(
        0,
        late.size(),
        () ->
            "expected no attempts after the grace period, got the first "
                + TimeUnit.NANOSECONDS.toMillis(
                    late.get(0) - discoveryService.notifiedAt(DRAINING_ENGINE))
                + " ms after the gateway counted as notified of the drain");
    assertTrue(
        draining.attempts().size() + staying.attempts().size() >= requests,
        "expected at least " + requests + " attempts");
  }

  private void start() throws IOException {
    gateway =
        new GatewayProcess(folder)
            .engine(DRAINING_ENGINE, draining.port())
            .engine(STAYING_ENGINE, staying.port())
            .discovery(discoveryService)
            .drainGraceMs((int) GRACE_MS)
            .start();
  }

  /** Waits until the gateway listens, then copies its log to standard output. */
  private void awaitListening() {
    gateway.awaitListening();
    FakeEngine.runInBackground(() -> gateway.process().getErrorStream().transferTo(System.out));
  }

  /**
   * Waits until the gateway has accepted all connections so far: they were opened before another
   * one, on which a request is answered.
   */
  private void awaitAccepted() throws IOException {
    Peer last = clients(1).get(0);
    last.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    last.expectBody("{}");
    last.close();
  }

  /** Sends this many requests at once and waits for all results. */
  private void burst(int requests) throws IOException {
    List<Peer> clients = clients(requests);
    for (Peer client : clients) {
      post(client);
    }
    for (Peer client : clients) {
      fetch(client);
    }
  }

  private List<Peer> clients(int count) throws IOException {
    List<Peer> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      clients.add(gateway.client());
    }
    return clients;
  }

  private void post(Peer client) throws IOException {
    client.post(String.format("%016x", ++lastId), "look", DEADLINE_MS);
  }

  private static void fetch(Peer client) throws IOException {
    String path = client.readBody().split("\"", -1)[3];
    client.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    client.expectBody("{\"records\":[]}");
    client.close();
  }
}
