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
 * Starts the gateway as a process and communicates with it over sockets. A minimal fake engine and
 * a minimal fake discovery service run in the test.
 */
class ServeTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  @TempDir private Path folder;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();
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
    startDaemon(
        () -> {
          while (true) {
            Socket socket = engine.accept();
            startDaemon(() -> serveEngineConnection(socket));
          }
        });
    // A local variable, because a test that replaces the field with another discovery service
    // receives the queries of that service itself.
    DatagramSocket firstService = discoveryService;
    startDaemon(
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
  void stopProcesses() throws IOException {
    started.forEach(Process::destroyForcibly);
    engine.close();
    discoveryService.close();
  }

  @Test
  void answersPendingRequestsBeforeItEnds() throws Exception {
    Process gateway = start(configuration());
    awaitHealthy();
    assertEquals(
        "{\"records\":[[\"SELECT 1\",\"look\",\"\"],[\"page\",\"1\",\"\"]]}",
        submit("00000000000000a1", "SELECT 1", 200));
    assertEquals("{\"problem\":\"Error\"}", submit("00000000000000a2", "fail", 500));
    assertEquals(
        404,
        client
            .send(
                requestTo("/v1/nobody").POST(HttpRequest.BodyPublishers.ofString("x")).build(),
                HttpResponse.BodyHandlers.ofString())
            .statusCode());
    CompletableFuture<String> slow =
        CompletableFuture.supplyAsync(() -> submit("00000000000000a3", "slow", 200));
    Thread.sleep(300);
    gateway.destroy();
    assertEquals(
        "{\"records\":[[\"slow\",\"look\",\"\"],[\"page\",\"1\",\"\"]]}",
        slow.get(10, TimeUnit.SECONDS));
    assertTrue(gateway.waitFor(10, TimeUnit.SECONDS));
    start(configuration());
    awaitHealthy();
  }

  /** Checks the metrics that monitoring reads in addition to the health path. */
  @Test
  void metricsCountRequests() throws Exception {
    start(configuration());
    awaitHealthy();
    submit("00000000000000a1", "SELECT 1", 200);
    submit("00000000000000a2", "fail", 500);
    HttpResponse<String> metrics =
        client.send(requestTo("/metrics").build(), HttpResponse.BodyHandlers.ofString());
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
    awaitHealthy();
    List<CompletableFuture<String>> answers = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      String id = String.format("%016x", i);
      answers.add(CompletableFuture.supplyAsync(() -> submit(id, "statement " + id, 200)));
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
        startFailure(configuration().replace("\"seed\"", "\"speed\"")));
    assertTrue(startFailure("{").startsWith("1: tillerlink: "));
    try (ServerSocket portOwner = new ServerSocket(port, 1, LOOPBACK)) {
      assertTrue(
          startFailure(configuration()).contains("Address already in use"),
          "port " + portOwner.getLocalPort());
    }
  }

  /**
   * Guards against hang-up signals during the start that end the process or are lost: the gateway
   * must survive them and still reload its configuration.
   */
  @Test
  void survivesHangupSignalsWhileStarting() throws Exception {
    Process gateway = start(configuration());
    gateway.errorReader(StandardCharsets.UTF_8).readLine();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) TIMEOUT.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    for (int i = 0; i < 3; i++) {
      sendHangup(gateway);
    }
    awaitHealthy();
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    assertTrue(gateway.isAlive());
  }

  /**
   * Guards against missing a configuration file that is replaced before the gateway watches it, in
   * a process that was started with SIGHUP ignored.
   */
  @Test
  void reloadsAConfigurationThatChangesDuringStartWhileSighupIsIgnored() throws Exception {
    Process gateway = start(configuration(), "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    gateway.errorReader(StandardCharsets.UTF_8).readLine();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) TIMEOUT.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    assertTrue(gateway.isAlive());
  }

  /**
   * Guards rolling restarts: a process that gets a termination signal before it listens ends at
   * once, and repeated signals while it serves have the effect of one.
   */
  @Test
  void endsOnATerminationSignalAtAnyTime() throws Exception {
    Process starting = start(configuration());
    starting.errorReader(StandardCharsets.UTF_8).readLine();
    starting.destroy();
    assertTrue(starting.waitFor(5, TimeUnit.SECONDS));
    Process serving = start(configuration());
    awaitHealthy();
    CompletableFuture<String> slow =
        CompletableFuture.supplyAsync(() -> submit("00000000000000a4", "slow", 200));
    Thread.sleep(300);
    for (int i = 0; i < 5; i++) {
      serving.destroy();
      sendHangup(serving);
    }
    assertEquals(
        "{\"records\":[[\"slow\",\"look\",\"\"],[\"page\",\"1\",\"\"]]}",
        slow.get(10, TimeUnit.SECONDS));
    assertTrue(serving.waitFor(10, TimeUnit.SECONDS));
  }

  /**
   * Guards against a gateway that ends on SIGHUP, or that continues to query the previous discovery
   * service after its address changed. An invalid configuration must not replace the previous one.
   */
  @Test
  void reloadsItsConfiguration() throws Exception {
    Process gateway = start(configuration());
    awaitHealthy();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) TIMEOUT.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    sendHangup(gateway);
    sendHangup(gateway);
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    Files.writeString(folder.resolve("configuration.json"), "{");
    sendHangup(gateway);
    BufferedReader log = gateway.errorReader(StandardCharsets.UTF_8);
    String line = log.readLine();
    while (!line.contains("keeping the previous one")) {
      line = log.readLine();
    }
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    awaitHealthy();
  }

  /**
   * Guards against a gateway that was started under nohup, where SIGHUP is ignored, and never
   * learns that the address of the discovery service changed.
   */
  @Test
  void reloadsItsConfigurationWhereSighupIsIgnored() throws Exception {
    start(configuration(), "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    awaitHealthy();
    discoveryService.close();
    discoveryService = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
    discoveryService.setSoTimeout((int) TIMEOUT.toMillis());
    Files.writeString(folder.resolve("configuration.json"), configuration());
    sendHangup(started.get(0));
    discoveryService.receive(new DatagramPacket(new byte[512], 512));
    awaitHealthy();
  }

  private static void sendHangup(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private String startFailure(String configuration) throws Exception {
    Process process = start(configuration);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    return process.exitValue()
        + ": "
        + new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8).strip();
  }

  private Process start(String configuration, String... commandPrefix) throws IOException {
    Path file = Files.writeString(folder.resolve("configuration.json"), configuration);
    List<String> command = new ArrayList<>(List.of(commandPrefix));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            "tillerlink.Main",
            "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
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

  private void awaitHealthy() throws Exception {
    long until = System.nanoTime() + TIMEOUT.toNanos();
    while (true) {
      try {
        if (client
                .send(requestTo("/healthz").build(), HttpResponse.BodyHandlers.ofString())
                .statusCode()
            == 200) {
          return;
        }
      } catch (IOException e) {
        // The gateway does not listen yet.
      }
      assertTrue(System.nanoTime() < until, "/healthz did not return 200 within " + TIMEOUT);
      Thread.sleep(20);
    }
  }

  /**
   * Submits a statement and follows the continuation paths to the final answer.
   *
   * @param id the correlation id
   * @param status the expected HTTP status of the final answer
   * @return the body of the final answer
   */
  private String submit(String id, String statement, int status) {
    try {
      HttpResponse<String> answer =
          client.send(
              requestTo("/v1/look")
                  .header("X-Correlation-Id", id)
                  .header("X-Deadline-Ms", "8000")
                  .header("X-Estimate-Ms", "100")
                  .POST(HttpRequest.BodyPublishers.ofString(statement))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      while (answer.body().startsWith("{\"continue\":\"")) {
        answer =
            client.send(
                requestTo(answer.body().split("\"", -1)[3]).build(),
                HttpResponse.BodyHandlers.ofString());
      }
      assertEquals(status, answer.statusCode());
      return answer.body();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpRequest.Builder requestTo(String path) {
    return HttpRequest.newBuilder(
            URI.create("http://" + LOOPBACK.getHostAddress() + ":" + port + path))
        .timeout(TIMEOUT);
  }

  /**
   * Serves one connection of the fake engine. It answers each request with its statement and one
   * further page; the statement "slow" takes 1.5 s, and "fail" fails.
   */
  private static void serveEngineConnection(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    OutputStream out = socket.getOutputStream();
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] fields = line.split(" ", -1);
      if (fields[0].equals("want")) {
        String statement = in.readLine();
        String row = statement + "\tlook\t\n";
        startDaemon(
            () -> {
              pause(statement.equals("slow") ? 1500 : 0);
              write(
                  out,
                  fields[1]
                      + (statement.equals("fail")
                          ? " error - 0\r\n\r\n"
                          : " ok count=2 " + row.length() + "\r\n" + row + "\r\n"));
            });
      } else if (fields[0].equals("there")) {
        write(out, fields[1] + " yes - 0\r\n\r\n");
      } else if (fields[0].equals("turn")) {
        write(out, fields[1] + " batch pos=" + fields[2] + " 8\r\npage\t1\t\n\r\n");
      }
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
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

  private interface IoTask {
    void run() throws IOException;
  }

  private static void startDaemon(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The test has ended and closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
