package tillerlink.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
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
 * Guards the drain where the process itself can't have heard of it: it started slowly, stood still,
 * or lost what it was told. Real processes, signals and sockets; the rule is judged by what the
 * engines and the discovery service saw.
 */
@Timeout(120)
class StaleListTest {
  /**
   * Between bursts of five: an answer is kept for a second after it was fetched, and 4,096 requests
   * at most, so that more of them a second are rejected for want of capacity.
   */
  private static final long BURST_PAUSE_MS = 3;

  private static final String DRAINS = "e1";
  private static final String STAYS = "e2";
  private static final long GRACE_MS = 1000;

  /** How much later than the grace a send on sockets may be. */
  private static final long SLACK_MS = 50;

  private static final long NOTIFIED_MS = 1500;
  private static final int DEADLINE_MS = 8000;

  /** How much more than the client has left an engine may be told. */
  private static final long LIMIT_SLACK_MS = 150;

  private static final long PAST_THE_GRACE_MS = NOTIFIED_MS + GRACE_MS + 300;

  /** How long a client may take for its first call. */
  private static final long FIRST_CALL_MS = 2500;

  private static final InetAddress HERE = InetAddress.getLoopbackAddress();

  @TempDir private Path folder;
  private FakeNameService discoveryService;
  private FakeEngine draining;
  private FakeEngine staying;
  private Process process;
  private int port;
  private int ids;

  @BeforeEach
  void startFakes() throws IOException {
    discoveryService = new FakeNameService();
    draining = new FakeEngine();
    staying = new FakeEngine();
    discoveryService.ready(DRAINS, draining.port());
    discoveryService.ready(STAYS, staying.port());
  }

  @AfterEach
  void end() throws IOException {
    process.destroyForcibly();
    discoveryService.close();
    draining.close();
    staying.close();
  }

  /**
   * The list of the configuration is older than the word that counts as told before the process is
   * up.
   */
  @Test
  void drainDuringASlowStartIsHonoured() throws Exception {
    discoveryService.delay(300);
    start();
    process.errorReader(StandardCharsets.UTF_8).readLine();
    signal("STOP");
    discoveryService.drains(DRAINS);
    Thread.sleep(PAST_THE_GRACE_MS);
    signal("CONT");
    awaitListening();
    burst(40);
    assertDrainHonoured(40);
  }

  /**
   * Requests wait for a process that stands still; when it goes on, they are read before any news.
   */
  @Test
  void drainDuringAPauseIsHonoured() throws Exception {
    discoveryService.delay(300);
    start();
    awaitListening();
    burst(10);
    signal("STOP");
    discoveryService.drains(DRAINS);
    Thread.sleep(PAST_THE_GRACE_MS);
    List<Peer> waiting = clients(40);
    for (Peer client : waiting) {
      post(client);
    }
    signal("CONT");
    for (Peer client : waiting) {
      fetch(client);
    }
    assertDrainHonoured(50);
  }

  /** Clients that had only connected hand their requests in while the process stands still. */
  @Test
  void whatCameDuringAPauseIsReadBeforeAnyConnectionIsClosed() throws Exception {
    start();
    awaitListening();
    burst(10);
    List<Peer> waiting = clients(40);
    awaitAccepted();
    signal("STOP");
    for (Peer client : waiting) {
      post(client);
    }
    Thread.sleep(FIRST_CALL_MS + 200);
    signal("CONT");
    for (Peer client : waiting) {
      fetch(client);
    }
  }

  /**
   * What engines are told of the time that clients have left counts from when these wrote, not from
   * when it was read.
   */
  @Test
  void deadlinesCountFromTheClientsWriteAfterAPause() throws Exception {
    start();
    awaitListening();
    burst(10);
    List<Peer> waiting = clients(20);
    awaitAccepted();
    signal("STOP");
    long posted = System.nanoTime();
    for (Peer client : waiting) {
      post(client);
    }
    Thread.sleep(2000);
    signal("CONT");
    for (Peer client : waiting) {
      fetch(client);
    }
    List<FakeEngine.Attempt> attempts = new ArrayList<>(draining.attempts());
    attempts.addAll(staying.attempts());
    attempts.removeIf(attempt -> attempt.at() < posted);
    assertEquals(20, attempts.size());
    long most =
        attempts.stream()
            .mapToLong(
                attempt -> attempt.limitMs() + TimeUnit.NANOSECONDS.toMillis(attempt.at() - posted))
            .max()
            .orElseThrow();
    assertTrue(
        most <= DEADLINE_MS + LIMIT_SLACK_MS,
        "told " + (most - DEADLINE_MS) + " ms more than the client has left");
  }

  /** Several answers in a row that tell of the drain are lost on their way. */
  @Test
  void drainIsHonouredThoughAnswersAreLostInARow() throws Exception {
    start();
    awaitListening();
    burst(10);
    discoveryService.drainsWithAnswersLost(DRAINS, NOTIFIED_MS);
    long began = System.nanoTime();
    int asked = 10;
    while (System.nanoTime() < began + TimeUnit.MILLISECONDS.toNanos(4000)) {
      burst(5);
      asked += 5;
      Thread.sleep(BURST_PAUSE_MS);
    }
    assertDrainHonoured(asked);
  }

  /**
   * No attempt came to the engine that drains later than the rule allows, and all that was asked
   * for was served.
   */
  private void assertDrainHonoured(int asked) {
    long until =
        discoveryService.notifiedAt(DRAINS) + TimeUnit.MILLISECONDS.toNanos(GRACE_MS + SLACK_MS);
    List<Long> late =
        draining.attempts().stream().map(FakeEngine.Attempt::at).filter(at -> at > until).toList();
    assertEquals(
        0,
        late.size(),
        () ->
            "attempts after the grace, the first "
                + TimeUnit.NANOSECONDS.toMillis(late.get(0) - discoveryService.notifiedAt(DRAINS))
                + " ms after the drain was told");
    assertTrue(
        draining.attempts().size() + staying.attempts().size() >= asked,
        "not all that was asked for was sent");
  }

  private void start() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, HERE)) {
      port = free.getLocalPort();
    }
    String requestClass =
        "{\"name\":\"look\",\"semantics\":\"repeatable\",\"group\":\"all\",\"aim_us\":8000000,\"hard_limit_us\":9000000,"
            + "\"worth\":1,\"late_worth\":0.5}";
    Path file =
        Files.writeString(
            folder.resolve("configuration.json"),
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                + port
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"resolver\":\"127.0.0.1:"
                + discoveryService.port()
                + "\",\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"snapshot\":true,\"endpoints\":["
                + endpointJson(DRAINS, draining)
                + ","
                + endpointJson(STAYS, staying)
                + "]}}]},\"settings\":{\"tick_us\":5000,"
                + "\"caps\":{\"max_attempts\":3,\"streams_per_conn\":8,\"connect_timeout_us\":1000000,\"may_cancel\":true},"
                + "\"models\":[\"std\"],\"zones\":[\"east\"],\"guarantees\":{\"drain_grace_us\":"
                + GRACE_MS * 1000
                + "},"
                + "\"family_info\":{\"kind_cores\":[64],\"tells_every_us\":9000000},\"profiles\":["
                + requestClass
                + "]}}");
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            "tillerlink.Main",
            "serve");
    builder.environment().put("EDGE_CONFIG", file.toString());
    process = builder.start();
  }

  private static String endpointJson(String name, FakeEngine engine) {
    return "{\"name\":\""
        + name
        + "\",\"address\":\"127.0.0.1:"
        + engine.port()
        + "\",\"zone\":\"east\",\"type\":\"std\",\"status\":\"SERVING\"}";
  }

  private void awaitListening() {
    Loopback.await(
        () -> {
          try (Socket socket = new Socket(HERE, port)) {
            return socket.isConnected();
          } catch (IOException e) {
            return false;
          }
        },
        "it does not listen");
    FakeEngine.daemon(() -> process.getErrorStream().transferTo(System.out));
  }

  /**
   * Until all connections are taken in: a call on a further one is answered, and they came before
   * it.
   */
  private void awaitAccepted() throws IOException {
    Peer last = clients(1).get(0);
    last.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    last.expectBody("{}");
    last.close();
  }

  private void signal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /** So many requests at once, each waited for. */
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
      Socket socket = new Socket(HERE, port);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(Loopback.PATIENCE_MS);
      clients.add(new Peer(socket));
    }
    return clients;
  }

  private void post(Peer client) throws IOException {
    client.post(String.format("%016x", ++ids), "look", DEADLINE_MS);
  }

  private static void fetch(Peer client) throws IOException {
    String path = client.readBody().split("\"", -1)[3];
    client.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    client.expectBody("{\"records\":[]}");
    client.close();
  }
}
