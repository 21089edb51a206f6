package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the program and speaks to it over sockets; an engine and a discovery service of a few
 * lines stand in.
 */
class ServeTest {
  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  @TempDir private Path folder;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(PATIENCE).build();
  private final List<Process> started = new ArrayList<>();
  private ServerSocket engine;
  private DatagramSocket discoveryService;
  private int port;

  @BeforeEach
  void startFakes() throws IOException {
    engine = new ServerSocket(0, 50, LOOPBACK);
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
      port = free.getLocalPort();
    }
    daemon(
        () -> {
          while (true) {
            Socket socket = engine.accept();
            daemon(() -> converse(socket));
          }
        });
    // Not the field: a test that puts another discovery service there is to hear its questions
    // itself.
    DatagramSocket firstService = discoveryService;
    daemon(
        () -> {
          while (true) {
            DatagramPacket packet = new DatagramPacket(new byte[512], 512);
            firstService.receive(packet);
            byte[] answer =
                DiscoveryAnswers.of(
                    DiscoveryAnswers.queryId(packet.getData()),
                    2,
                    "e1 ready 127.0.0.1:" + engine.getLocalPort() + " east std 0 0");
            firstService.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
          }
        });
  }

  @AfterEach
  void end() throws IOException {
    started.forEach(Process::destroyForcibly);
    engine.close();
    discoveryService.close();
  }

  @Test
  void servesAndEndsWhenAllIsAnswered() throws Exception {
    Process gateway = start(configuration());
    awaitHealth();
    assertEquals(
        "{\"records\":[[\"SELECT 1\",\"look\",\"\"],[\"page\",\"1\",\"\"]]}",
        ask("00000000000000a1", "SELECT 1", 200));
    assertEquals("{\"problem\":\"Error\"}", ask("00000000000000a2", "fail", 500));
    assertEquals(
        404,
        client
            .send(
                to("/v1/nobody").POST(HttpRequest.BodyPublishers.ofString("x")).build(),
                HttpResponse.BodyHandlers.ofString())
            .statusCode());
    CompletableFuture<String> slow =
        CompletableFuture.supplyAsync(() -> ask("00000000000000a3", "slow", 200));
    Thread.sleep(300);
    gateway.destroy();
    assertEquals(
        "{\"records\":[[\"slow\",\"look\",\"\"],[\"page\",\"1\",\"\"]]}",
        slow.get(10, TimeUnit.SECONDS));
    assertTrue(gateway.waitFor(10, TimeUnit.SECONDS));
    start(configuration());
    awaitHealth();
  }

  /** What monitoring reads beside the health path. */
  @Test
  void metricsCountRequests() throws Exception {
    start(configuration());
    awaitHealth();
    ask("00000000000000a1", "SELECT 1", 200);
    ask("00000000000000a2", "fail", 500);
    HttpResponse<String> metrics =
        client.send(to("/metrics").build(), HttpResponse.BodyHandlers.ofString());
    assertEquals(
        "text/plain; version=0.0.4; charset=utf-8",
        metrics.headers().firstValue("Content-Type").orElse(""));
    assertTrue(metrics.body().contains("tillerlink_requests_accepted_total 2\n"), metrics.body());
    assertTrue(metrics.body().contains("tillerlink_requests_answered_total 1\n"), metrics.body());
    assertTrue(
        metrics.body().contains("tillerlink_invariant_violations_total 0\n"), metrics.body());
  }

  @Test
  void servesManyClientsAtOnce() throws Exception {
    start(configuration());
    awaitHealth();
    List<CompletableFuture<String>> answers = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      String id = String.format("%016x", i);
      answers.add(CompletableFuture.supplyAsync(() -> ask(id, "statement " + id, 200)));
    }
    for (int i = 0; i < 60; i++) {
      assertTrue(
          answers
              .get(i)
              .get(10, TimeUnit.SECONDS)
              .contains(String.format("\"statement %016x\"", i)));
    }
  }

  @Test
  void reportsWhyItCannotStart() throws Exception {
    assertEquals(
        "1: tillerlink: 'seed' must be a non-empty string, but is missing",
        failure(configuration().replace("\"seed\"", "\"speed\"")));
    assertTrue(failure("{").startsWith("1: tillerlink: "));
    try (ServerSocket taken = new ServerSocket(port, 1, LOOPBACK)) {
      assertTrue(
          failure(configuration()).contains("Address already in use"),
          "port " + taken.getLocalPort());
    }
  }

  /** Guards the start: signals that come before it listens neither end it nor are lost. */
  @Test
  void survivesHangUpsWhileItStarts() throws Exception {
    Process gateway = start(configuration());
    gateway.errorReader(StandardCharsets.UTF_8).readLine();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) PATIENCE.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    for (int i = 0; i < 3; i++) {
      hangUp(gateway);
    }
    awaitHealth();
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    assertTrue(gateway.isAlive());
  }

  /** Guards the same where SIGHUP was ignored: a file that is replaced before it is watched. */
  @Test
  void reloadsAConfigurationThatChangesDuringAStartWithSignalsIgnored() throws Exception {
    Process gateway = start(configuration(), "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    gateway.errorReader(StandardCharsets.UTF_8).readLine();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) PATIENCE.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    assertTrue(gateway.isAlive());
  }

  /**
   * Guards a restart in step: told to end before it listens, it ends at once; told twice while it
   * serves, as once.
   */
  @Test
  void endsOnATerminationSignalAtAnyMoment() throws Exception {
    Process early = start(configuration());
    early.errorReader(StandardCharsets.UTF_8).readLine();
    early.destroy();
    assertTrue(early.waitFor(5, TimeUnit.SECONDS));
    Process twice = start(configuration());
    awaitHealth();
    CompletableFuture<String> slow =
        CompletableFuture.supplyAsync(() -> ask("00000000000000a4", "slow", 200));
    Thread.sleep(300);
    for (int i = 0; i < 5; i++) {
      twice.destroy();
      hangUp(twice);
    }
    assertEquals(
        "{\"records\":[[\"slow\",\"look\",\"\"],[\"page\",\"1\",\"\"]]}",
        slow.get(10, TimeUnit.SECONDS));
    assertTrue(twice.waitFor(10, TimeUnit.SECONDS));
  }

  /**
   * Guards against a gateway that ends on SIGHUP, or that goes on asking where nobody answers any
   * more.
   */
  @Test
  void reloadsItsConfiguration() throws Exception {
    Process gateway = start(configuration());
    awaitHealth();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) PATIENCE.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    hangUp(gateway);
    hangUp(gateway);
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    Files.writeString(folder.resolve("configuration.json"), "{");
    hangUp(gateway);
    BufferedReader log = gateway.errorReader(StandardCharsets.UTF_8);
    String line = log.readLine();
    while (!line.contains("keeping the previous one")) {
      line = log.readLine();
    }
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    awaitHealth();
  }

  /**
   * Guards against a gateway that was started under nohup and never hears that the discovery
   * service has moved.
   */
  @Test
  void reloadsItsConfigurationWhereTheSignalIsIgnored() throws Exception {
    start(configuration(), "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    awaitHealth();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) PATIENCE.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    hangUp(started.get(0));
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    awaitHealth();
  }

  private static void hangUp(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private String failure(String configuration) throws Exception {
    Process process = start(configuration);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    return process.exitValue()
        + ": "
        + new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8).strip();
  }

  private Process start(String configuration, String... under) throws IOException {
    Path file = Files.writeString(folder.resolve("configuration.json"), configuration);
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
    started.add(builder.start());
    return started.get(started.size() - 1);
  }

  private String configuration() {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},"
        + "\"resolver\":\"127.0.0.1:"
        + discoveryService.getLocalPort()
        + "\",\"known\":{\"index\":0,\"updates\":[]},\"settings\":{"
        + "\"tick_us\":5000,\"guarantees\":{\"drain_grace_us\":400000},"
        + "\"caps\":{\"max_attempts\":2,\"streams_per_conn\":8,\"connect_timeout_us\":5000000},"
        + "\"models\":[\"std\"],\"zones\":[\"east\"],\"family_info\":{\"kind_cores\":[8]},\"profiles\":[{\"name\":\"look\","
        + "\"semantics\":\"once\",\"aim_us\":5000000,\"hard_limit_us\":9000000,\"worth\":1,\"late_worth\":0.5}]}}";
  }

  private void awaitHealth() throws Exception {
    long until = System.nanoTime() + PATIENCE.toNanos();
    while (true) {
      try {
        if (client.send(to("/healthz").build(), HttpResponse.BodyHandlers.ofString()).statusCode()
            == 200) {
          return;
        }
      } catch (IOException e) {
        // Not yet up.
      }
      assertTrue(System.nanoTime() < until, "not healthy in time");
      Thread.sleep(20);
    }
  }

  /** Hands in a statement and follows the paths to the last answer. */
  private String ask(String id, String statement, int status) {
    try {
      HttpResponse<String> answer =
          client.send(
              to("/v1/look")
                  .header("X-Correlation-Id", id)
                  .header("X-Deadline-Ms", "8000")
                  .header("X-Estimate-Ms", "100")
                  .POST(HttpRequest.BodyPublishers.ofString(statement))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      while (answer.body().startsWith("{\"continue\":\"")) {
        answer =
            client.send(
                to(answer.body().split("\"", -1)[3]).build(), HttpResponse.BodyHandlers.ofString());
      }
      assertEquals(status, answer.statusCode());
      return answer.body();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpRequest.Builder to(String path) {
    return HttpRequest.newBuilder(
            URI.create("http://" + LOOPBACK.getHostAddress() + ":" + port + path))
        .timeout(PATIENCE);
  }

  /**
   * An engine that answers with the statement and one further page; "slow" takes a second and a
   * half, "fail" fails.
   */
  private static void converse(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    OutputStream out = socket.getOutputStream();
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] words = line.split(" ", -1);
      if (words[0].equals("want")) {
        String statement = in.readLine();
        String row = statement + "\tlook\t\n";
        daemon(
            () -> {
              pause(statement.equals("slow") ? 1500 : 0);
              say(
                  out,
                  words[1]
                      + (statement.equals("fail")
                          ? " error - 0\r\n\r\n"
                          : " ok count=2 " + row.length() + "\r\n" + row + "\r\n"));
            });
      } else if (words[0].equals("there")) {
        say(out, words[1] + " yes - 0\r\n\r\n");
      } else if (words[0].equals("turn")) {
        say(out, words[1] + " batch pos=" + words[2] + " 8\r\npage\t1\t\n\r\n");
      }
    }
  }

  private static void say(OutputStream out, String text) throws IOException {
    synchronized (out) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void daemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The test is over and has closed what this read from.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
