package tillerlink.peering;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import tillerlink.channels.ChannelLogConfig;
import tillerlink.net.lifecycle.GatewayServer;
import tillerlink.peering.channels.HostedChannels;
import tillerlink.peering.statements.StatementsComponentFactory;
import tillerlink.policy.DefaultDispatchPolicy;

/** Runs gateways without engines in separate processes that communicate over loopback. */
final class GatewayCluster implements AutoCloseable {
  static final int EXIT_CODE_VIOLATION = 70;
  private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(90);
  private static final String LOOPBACK = "127.0.0.1";

  /** A gateway process that keeps its ports when it is restarted. */
  static final class TestGateway {
    final String name;
    final int http;
    final int udp;
    Process process;

    TestGateway(String name, int http, int udp) {
      this.name = name;
      this.http = http;
      this.udp = udp;
    }
  }

  private final Path directory;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, TestGateway> gateways = new TreeMap<>();

  GatewayCluster(Path directory) {
    this.directory = directory;
  }

  /**
   * Runs one gateway.
   *
   * @param args fleet, site, UDP address, directory, secret or "-" for none, comma-separated seeds
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    PeeringConfig config =
        new PeeringConfig(
            args[0],
            args[1],
            args[2],
            List.of(args[5].split(",")),
            args[4].equals("-") ? null : args[4].getBytes(StandardCharsets.UTF_8),
            Map.of(),
            2000,
            Path.of(args[3]),
            1 << 20);
    new GatewayServer()
        .serve(
            System.getenv(),
            DefaultDispatchPolicy::new,
            null,
            assignment -> null,
            Peering.factory(
                config,
                List.of(
                    new EchoComponentFactory(),
                    new HostedChannels(ChannelLogConfig.of(List.of("n1", "n2", "n3"))),
                    new StatementsComponentFactory(
                        List.of("n1", "n2", "n3"), 20_000, 0.01, false, false))));
    System.exit(0);
  }

  TestGateway start(String name, String secret, String seeds) throws IOException {
    TestGateway gateway = gateways.get(name);
    if (gateway == null) {
      try (ServerSocket http = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
          DatagramSocket udp = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
        gateway = new TestGateway(name, http.getLocalPort(), udp.getLocalPort());
      }
      gateways.put(name, gateway);
    }
    Path configFile =
        Files.writeString(
            directory.resolve(name + ".json"),
            "{\"name\":\""
                + name
                + "\",\"listen\":\"127.0.0.1:"
                + gateway.http
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"resolver\":\"127.0.0.1:9\","
                + "\"known\":{\"index\":0,\"updates\":[]},\"settings\":{\"tick_us\":5000,\"models\":[\"std\"],\"zones\":[\"east\"],"
                + "\"family_info\":{\"kind_cores\":[8]},\"profiles\":[]}}");
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dtillerlink.invariants=true",
                "-cp",
                System.getProperty("java.class.path"),
                "tillerlink.peering.GatewayCluster",
                "fleet",
                "site-" + name,
                LOOPBACK + ":" + gateway.udp,
                directory.toString(),
                secret,
                seeds.isEmpty() ? LOOPBACK + ":" + gateway.udp : seeds));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
    builder.environment().put("EDGE_CONFIG", configFile.toString());
    gateway.process = builder.start();
    return gateway;
  }

  String log(TestGateway gateway) throws IOException {
    return Files.readString(directory.resolve(gateway.name + ".log"));
  }

  static void signal(TestGateway gateway, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(gateway.process.pid()))
        .start()
        .waitFor();
  }

  /** Sends a request and returns the body of the response, or an empty string if it failed. */
  String call(TestGateway gateway, String path, byte[] body) throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + gateway.http + path))
            .timeout(Duration.ofSeconds(5));
    try {
      return client
          .send(
              body == null
                  ? request.build()
                  : request.POST(HttpRequest.BodyPublishers.ofByteArray(body)).build(),
              HttpResponse.BodyHandlers.ofString())
          .body();
    } catch (IOException e) {
      return "";
    }
  }

  /**
   * Returns the reachability of all other members as one gateway reports it, for example "n2
   * REACHABLE n3 GONE".
   */
  String memberStates(TestGateway gateway) throws InterruptedException {
    String[] members = call(gateway, "/v1/members", null).split("\\{\"name\":\"");
    StringBuilder states = new StringBuilder();
    for (String member :
        Arrays.asList(members).subList(Math.min(1, members.length), members.length)) {
      if (member.contains("\"reach\"")) {
        states
            .append(states.length() == 0 ? "" : " ")
            .append(member, 0, member.indexOf('"'))
            .append(' ')
            .append(member.replaceFirst("(?s).*\"reach\":\"([A-Z_]+)\".*", "$1"));
      }
    }
    return states.toString();
  }

  /**
   * Repeats a request until the body is as expected.
   *
   * @param path the path to request, or an empty string for {@link #memberStates}
   * @return the expected body
   * @throws AssertionError if the body is not as expected within 90 s
   */
  String await(TestGateway gateway, String path, Predicate<String> expected)
      throws InterruptedException, IOException {
    long deadline = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
    String body = "";
    while (System.nanoTime() < deadline) {
      body = path.isEmpty() ? memberStates(gateway) : call(gateway, path, null);
      if (expected.test(body)) {
        return body;
      }
      Thread.sleep(50);
    }
    throw new AssertionError(gateway.name + " still returned " + body + "\n" + log(gateway));
  }

  String awaitMembers(TestGateway gateway, String expected)
      throws InterruptedException, IOException {
    return await(gateway, "", states -> states.matches(expected));
  }

  @Override
  public void close() {
    gateways.values().forEach(gateway -> gateway.process.destroyForcibly());
  }
}
