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
 * A whole process, told to end while something is owed or short of what it needs; what is said
 * waits for what was seen.
 */
@Timeout(120)
class ProcessTest {
  private static final String ONE = "00000000000000a1";
  private static final String TWO = "00000000000000a2";
  private static final String ROWS = "{\"records\":[]}";
  private static final String REFUSED = "{\"problem\":\"Full\"}";
  private static final InetAddress HERE = InetAddress.getLoopbackAddress();
  private static final int TERMINATED = 143;

  @TempDir private Path folder;
  private ServerSocket engines;
  private Process process;
  private int port;

  @BeforeEach
  void engine() throws IOException {
    engines = new ServerSocket(0, 50, HERE);
    engines.setSoTimeout(Loopback.PATIENCE_MS);
  }

  /**
   * @param under what the process is started by, if not as it is; its log goes there
   */
  private void start(File log, int descriptors, String... under) throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, HERE)) {
      port = free.getLocalPort();
    }
    String entry =
        "{\"name\":\"e1\",\"address\":\"127.0.0.1:"
            + engines.getLocalPort()
            + "\",\"zone\":\"east\",\"type\":\"std\",\"status\":\"SERVING\"}";
    String requestClass =
        "{\"name\":\"look\",\"semantics\":\"repeatable\",\"group\":\"all\",\"aim_us\":2000000,\"hard_limit_us\":9000000,"
            + "\"worth\":1,\"late_worth\":0.5}";
    Path file =
        Files.writeString(
            folder.resolve("configuration.json"),
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                + port
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                + descriptors
                + "},\"resolver\":\"127.0.0.1:9\",\"known\":{\"index\":1,"
                + "\"updates\":[{\"index\":1,\"endpoints\":{\"snapshot\":true,\"endpoints\":["
                + entry
                + "]}}]},\"settings\":{"
                + "\"tick_us\":5000,\"caps\":{\"max_attempts\":2,\"streams_per_conn\":8,\"connect_timeout_us\":5000000,\"may_cancel\":true},"
                + "\"models\":[\"std\"],\"zones\":[\"east\"],\"guarantees\":{\"drain_grace_us\":400000},"
                + "\"family_info\":{\"kind_cores\":[8],\"tells_every_us\":9000000},\"profiles\":["
                + requestClass
                + "]}}");
    List<String> line = new ArrayList<>(List.of(under));
    line.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            "tillerlink.Main",
            "serve"));
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().put("EDGE_CONFIG", file.toString());
    process = builder.redirectError(log).start();
    Loopback.await(
        () -> {
          try (Socket socket = new Socket(HERE, port)) {
            return socket.isConnected();
          } catch (IOException e) {
            return false;
          }
        },
        "it does not listen");
  }

  @AfterEach
  void end() throws IOException {
    process.destroyForcibly();
    engines.close();
  }

  /**
   * Guards what comes, or has come in part, after the process takes nothing more: it is refused and
   * not sent on; what was taken before is answered; no connection is cut.
   */
  @Test
  void shutdownRefusesHalfRequestsAndClosesIdleConnections() throws Exception {
    start(folder.resolve("log").toFile(), 1024);
    Peer idleClient = client();
    idleClient.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    idleClient.expectBody("{}");
    Peer acceptedClient = client();
    Engine engine = awaitAttempt(acceptedClient);
    String text = Peer.postRequest(TWO, "look", 8000);
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
    engine.send(ONE + " ok count=1 0\r\n\r\n");
    acceptedClient.expectBody(ROWS);
    acceptedClient.expectHalfClose();
    assertEquals(Engine.OVER, engine.nextAttemptId());
    assertTerminated("0 requests unanswered");
  }

  /**
   * Guards clients of engines that all hang: each hears before the process is killed, whatever else
   * it is told.
   */
  @Test
  void shutdownAnswersWhatIsPending() throws Exception {
    start(folder.resolve("log").toFile(), 1024);
    Peer waitingClient = client();
    awaitAttempt(waitingClient);
    long terminatedAt = System.nanoTime();
    process.destroy();
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    process.destroy();
    waitingClient.expectBody(REFUSED);
    long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - terminatedAt);
    assertTrue(ms >= 3000, "given up after " + ms + " ms already");
    waitingClient.expectHalfClose();
    assertTerminated("0 requests unanswered");
  }

  /**
   * Guards usual clients against idle ones that hold all descriptors they can get, while nobody
   * tells of engines.
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
    for (Peer one : idle) {
      one.close();
    }
  }

  /** Guards against taking a log that can't be written for a reason not to serve. */
  @Test
  void servesThoughItsLogCannotBeWritten() throws Exception {
    start(new File("/dev/full"), 1024);
    assertServed();
    process.destroy();
    assertTrue(process.waitFor(Loopback.PATIENCE_MS, TimeUnit.MILLISECONDS));
    assertEquals(TERMINATED, process.exitValue());
  }

  private void assertServed() throws Exception {
    Peer waitingClient = client();
    Engine engine = awaitAttempt(waitingClient);
    engine.send(ONE + " ok count=1 0\r\n\r\n");
    waitingClient.expectBody(ROWS);
  }

  /** A client hands a statement in and waits for its result; the engine that has it. */
  private Engine awaitAttempt(Peer client) throws Exception {
    client.post(ONE, "look", 8000);
    client.expectBody("{\"continue\":\"/v1/calls/" + ONE + "\"}");
    client.get(ONE);
    Engine engine = new Engine(engines.accept());
    assertEquals(ONE, engine.nextAttemptId());
    return engine;
  }

  private Peer client() throws IOException {
    Socket socket = new Socket(HERE, port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(Loopback.PATIENCE_MS);
    return new Peer(socket);
  }

  /** An engine that takes work and says that it works, and answers nothing unless it is told to. */
  private static final class Engine {
    static final String OVER = "the connection ended";
    private final Peer peer;
    private final BlockingQueue<String> wanted = new LinkedBlockingQueue<>();

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
            wanted.add(words[1]);
          }
        }
      } catch (IOException e) {
        // It ended with a reset, as where a process goes.
      }
      wanted.add(OVER);
    }

    synchronized void send(String text) throws IOException {
      peer.send(text);
    }

    String nextAttemptId() throws InterruptedException {
      return wanted.poll(Loopback.PATIENCE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void assertTerminated(String lastWord) throws Exception {
    assertTrue(process.waitFor(Loopback.PATIENCE_MS, TimeUnit.MILLISECONDS));
    assertEquals(TERMINATED, process.exitValue());
    String log = Files.readString(folder.resolve("log"), StandardCharsets.UTF_8);
    assertTrue(log.contains(lastWord), log);
  }
}
