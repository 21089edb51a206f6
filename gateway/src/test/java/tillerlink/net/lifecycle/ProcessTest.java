package tillerlink.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.net.lifecycle.Loopback.Peer;

/**
 * Tests of a whole gateway process that is terminated while requests are pending, or that lacks
 * resources. Each step waits for an observable effect of the one before.
 */
@Timeout(120)
class ProcessTest {
  private static final String FIRST_ID = "00000000000000a1";
  private static final String SECOND_ID = "00000000000000a2";
  private static final String EMPTY_RESULT = "{\"records\":[]}";
  private static final String REFUSED = "{\"problem\":\"Full\"}";
  private static final InetAddress LOCALHOST = InetAddress.getLoopbackAddress();
  private static final int SIGTERM_EXIT_CODE = 143;

  @TempDir private Path folder;
  private ServerSocket engines;
  private GatewayProcess gateway;
  private Process process;

  @BeforeEach
  void engine() throws IOException {
    engines = new ServerSocket(0, 50, LOCALHOST);
    engines.setSoTimeout(Loopback.TIMEOUT_MS);
  }

  /**
   * Starts the gateway and waits until it listens.
   *
   * @param log the file for its standard error
   * @param descriptors the limit on descriptors in its configuration
   * @param wrapper the command, with its arguments, that runs the process; empty to run it directly
   */
  private void start(File log, int descriptors, String... wrapper) throws IOException {
    gateway =
        new GatewayProcess(folder)
            .engine("e1", engines.getLocalPort())
            .descriptors(descriptors)
            .aimMs(2000)
            .maxAttempts(2)
            .connectTimeoutMs(5000)
            .drainGraceMs(400)
            .engineCores(8)
            .log(log)
            .wrapper(wrapper)
            .start()
            .awaitListening();
    process = gateway.process();
  }

  @AfterEach
  void end() throws IOException {
    gateway.close();
    engines.close();
  }

  /**
   * Guards requests that arrive, or are completed, after the process has stopped accepting: they
   * are refused and not forwarded to an engine. Requests accepted before are answered, and no
   * connection is reset.
   */
  @Test
  void shutdownRefusesHalfRequestsAndClosesIdleConnections() throws Exception {
    start(folder.resolve("log").toFile(), 1024);
    Peer idleClient = client();
    idleClient.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    idleClient.expectBody("{}");
    Peer acceptedClient = client();
    Engine engine = awaitAttempt(acceptedClient);
    String text = Peer.postRequest(SECOND_ID, "look", 8000);
    Peer halfReadClient = client();
    halfReadClient.send(text.substring(0, 60));
    process.destroy();
    idleClient.expectHalfClose();
    halfReadClient.send(text.substring(60));
    halfReadClient.expectBody(REFUSED);
    halfReadClient.expectHalfClose();
    Peer lateClient = client();
    lateClient.send(text);
    lateClient.expectBody(REFUSED);
    lateClient.expectHalfClose();
    engine.send(FIRST_ID + " ok count=1 0\r\n\r\n");
    acceptedClient.expectBody(EMPTY_RESULT);
    acceptedClient.expectHalfClose();
    assertEquals(Engine.CLOSED, engine.nextAttemptId());
    assertTerminated("0 requests unanswered");
  }

  /**
   * Guards clients while all engines hang: each client gets a response before the process is
   * killed, even if further signals arrive.
   */
  @Test
  void shutdownAnswersWhatIsPending() throws Exception {
    start(folder.resolve("log").toFile(), 1024);
    Peer waitingClient = client();
    awaitAttempt(waitingClient);
    long terminatedAt = System.nanoTime();
    process.destroy();
    gateway.signal("HUP");
    process.destroy();
    waitingClient.expectBody(REFUSED);
    long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - terminatedAt);
    assertTrue(
        ms >= 3000, "expected the request to be refused after 3000 ms or later, got " + ms + " ms");
    waitingClient.expectHalfClose();
    assertTerminated("0 requests unanswered");
  }

  /**
   * Guards active clients against idle ones that occupy every descriptor they can get, while the
   * discovery service does not answer.
   */
  @Test
  void idleClientsTakeNoPlaceFromOthers() throws Exception {
    start(folder.resolve("log").toFile(), 72, "sh", "-c", "ulimit -n 72; exec \"$@\"", "sh");
    List<Peer> idle = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      idle.add(client());
    }
    assertServed();
    assertFalse(Files.readString(folder.resolve("log")).contains("Too many open files"));
    for (Peer client : idle) {
      client.close();
    }
  }

  /** Guards against a gateway that stops serving because its log cannot be written. */
  @Test
  void servesThoughItsLogCannotBeWritten() throws Exception {
    start(new File("/dev/full"), 1024);
    assertServed();
    process.destroy();
    assertTrue(process.waitFor(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    assertEquals(SIGTERM_EXIT_CODE, process.exitValue());
  }

  /** Asserts that a client gets the result of its request. */
  private void assertServed() throws Exception {
    Peer waitingClient = client();
    Engine engine = awaitAttempt(waitingClient);
    engine.send(FIRST_ID + " ok count=1 0\r\n\r\n");
    waitingClient.expectBody(EMPTY_RESULT);
  }

  /**
   * Lets the client submit a statement and wait for its result.
   *
   * @return the engine connection on which the attempt was received
   */
  private Engine awaitAttempt(Peer client) throws Exception {
    client.post(FIRST_ID, "look", 8000);
    client.expectBody("{\"continue\":\"/v1/calls/" + FIRST_ID + "\"}");
    client.get(FIRST_ID);
    Engine engine = new Engine(engines.accept());
    assertEquals(FIRST_ID, engine.nextAttemptId());
    return engine;
  }

  private Peer client() throws IOException {
    return gateway.client();
  }

  /**
   * A fake engine that accepts attempts and responds to liveness checks, but sends a result only
   * when the test calls {@link #send}.
   */
  private static final class Engine {
    /** Returned instead of an attempt id once the connection was closed. */
    static final String CLOSED = "connection closed";

    private final Peer peer;
    private final BlockingQueue<String> attemptIds = new LinkedBlockingQueue<>();

    Engine(Socket socket) throws IOException {
      socket.setTcpNoDelay(true);
      peer = new Peer(socket);
      Thread thread = new Thread(this::listen, "engine");
      thread.setDaemon(true);
      thread.start();
    }

    private void listen() {
      try {
        for (String line = peer.readLine(); line != null; line = peer.readLine()) {
          String[] words = line.split(" ", -1);
          if (words[0].equals("there")) {
            send(words[1] + " yes - 0\r\n\r\n");
          } else if (words[0].equals("want")) {
            attemptIds.add(words[1]);
          }
        }
      } catch (IOException e) {
        // The connection was reset, as when a process exits.
      }
      attemptIds.add(CLOSED);
    }

    synchronized void send(String text) throws IOException {
      peer.send(text);
    }

    /** Returns the id of the next attempt, {@link #CLOSED}, or null after 10 s without either. */
    String nextAttemptId() throws InterruptedException {
      return attemptIds.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Asserts that the process exits on SIGTERM and that its log contains a text. */
  private void assertTerminated(String logged) throws Exception {
    assertTrue(process.waitFor(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    assertEquals(SIGTERM_EXIT_CODE, process.exitValue());
    String log = Files.readString(folder.resolve("log"), StandardCharsets.UTF_8);
    assertTrue(log.contains(logged), log);
  }
}
