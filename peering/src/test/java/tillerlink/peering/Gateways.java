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
import tillerlink.channels.Terms;
import tillerlink.net.lifecycle.GatewayServer;
import tillerlink.peering.channels.HostedChannels;
import tillerlink.peering.statements.StatementsComponentFactory;
import tillerlink.policy.DefaultDispatchPolicy;

/** Gateways as processes of their own, on loopback, for tests; none of them knows an engine. */
final class Gateways implements AutoCloseable {
  static final int BROKEN = 70;
  private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(90);
  private static final String LOOPBACK = "127.0.0.1";

  /** One of them. */
  static final class Gateway {
    final String name;
    final int http;
    final int udp;
    Process process;

    Gateway(String name, int http, int udp) {
      this.name = name;
      this.http = http;
      this.udp = udp;
    }
  }

  private final Path folder;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, Gateway> all = new TreeMap<>();

  Gateways(Path folder) {
    this.folder = folder;
  }

  /** The process: fleet, site, UDP address, folder, secret or "-", seeds with commas. */
  public static void main(String[] args) throws IOException, InterruptedException {
    PeeringConfig sharing =
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
                sharing,
                List.of(
                    new Echo(),
                    new HostedChannels(Terms.of(List.of("n1", "n2", "n3"))),
                    new StatementsComponentFactory(
                        List.of("n1", "n2", "n3"), 20_000, 0.01, false, false))));
    System.exit(0);
  }

  Gateway start(String name, String secret, String seeds) throws IOException {
    Gateway gateway = all.get(name);
    if (gateway == null) {
      try (ServerSocket http = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
          DatagramSocket udp = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
        gateway = new Gateway(name, http.getLocalPort(), udp.getLocalPort());
      }
      all.put(name, gateway);
    }
    Path file =
        Files.writeString(
            folder.resolve(name + ".json"),
            "{\"name\":\""
                + name
                + "\",\"listen\":\"127.0.0.1:"
                + gateway.http
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"resolver\":\"127.0.0.1:9\","
                + "\"known\":{\"index\":0,\"updates\":[]},\"settings\":{\"tick_us\":5000,\"models\":[\"std\"],\"zones\":[\"east\"],"
                + "\"family_info\":{\"kind_cores\":[8]},\"profiles\":[]}}");
    List<String> line =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dtillerlink.invariants=true",
                "-cp",
                System.getProperty("java.class.path"),
                "tillerlink.peering.Gateways",
                "fleet",
                "site-" + name,
                LOOPBACK + ":" + gateway.udp,
                folder.toString(),
                secret,
                seeds.isEmpty() ? LOOPBACK + ":" + gateway.udp : seeds));
    ProcessBuilder builder =
        new ProcessBuilder(line)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    builder.environment().put("EDGE_CONFIG", file.toString());
    gateway.process = builder.start();
    return gateway;
  }

  String log(Gateway gateway) throws IOException {
    return Files.readString(folder.resolve(gateway.name + ".log"));
  }

  static void signal(Gateway gateway, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(gateway.process.pid()))
        .start()
        .waitFor();
  }

  /** The answer's body; empty if there was none. */
  String call(Gateway gateway, String path, byte[] body) throws InterruptedException {
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

  /** How the named stand as one of them sees it, as "n2 REACHABLE n3 GONE". */
  String seen(Gateway gateway) throws InterruptedException {
    String[] parts = call(gateway, "/v1/members", null).split("\\{\"name\":\"");
    StringBuilder seen = new StringBuilder();
    for (String part : Arrays.asList(parts).subList(Math.min(1, parts.length), parts.length)) {
      if (part.contains("\"reach\"")) {
        seen.append(seen.length() == 0 ? "" : " ")
            .append(part, 0, part.indexOf('"'))
            .append(' ')
            .append(part.replaceFirst("(?s).*\"reach\":\"([A-Z_]+)\".*", "$1"));
      }
    }
    return seen.toString();
  }

  /** Waits until it says so; how long that takes says nothing. */
  String await(Gateway gateway, String path, Predicate<String> wanted)
      throws InterruptedException, IOException {
    long until = System.nanoTime() + PATIENCE_NANOS;
    String answer = "";
    while (System.nanoTime() < until) {
      answer = path.isEmpty() ? seen(gateway) : call(gateway, path, null);
      if (wanted.test(answer)) {
        return answer;
      }
      Thread.sleep(50);
    }
    throw new AssertionError(gateway.name + " says " + answer + "\n" + log(gateway));
  }

  String awaitSeen(Gateway gateway, String wanted) throws InterruptedException, IOException {
    return await(gateway, "", seen -> seen.matches(wanted));
  }

  @Override
  public void close() {
    all.values().forEach(gateway -> gateway.process.destroyForcibly());
  }
}
