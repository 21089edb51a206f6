package tillerlink;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.IntStream;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.state.NetworkDriver;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.policy.DefaultDispatchPolicy;

/**
 * A gateway on a driver that prints. Times are milliseconds; in what engines send, | is a line's
 * end.
 */
final class GatewayFixture implements NetworkDriver {
  private static final int TENTHS = 10;
  static final long START = 17_000_000_000_000L;
  private static final long CONFIRM_MS = 125;

  /** When the scenario of a started gateway begins: the list was confirmed by then. */
  static final long SCENARIO_START = START + CONFIRM_MS * TENTHS;

  private final StringBuilder printed = new StringBuilder();
  private final List<PrintingChannel> engineConnections = new ArrayList<>();
  private final List<PrintingChannel> unwritten = new ArrayList<>();
  private final Map<String, PrintingChannel> clients = new LinkedHashMap<>();
  private List<EndpointEntry> fleet = List.of(entry("e1", "127.0.0.1"), entry("e2", "127.0.0.2"));
  private int descriptorLimit = 1024;
  private long now = START;
  private int lastQueryId;
  private int discoveryQueries;
  private boolean minimalSettings;
  private boolean writesBlocked;
  private boolean traceMuted;

  /**
   * What the discovery service answers unless a test gives an answer of its own, and the query that
   * waits for it.
   */
  private String[] servedEngines;

  private int servedIndex;
  private boolean discoveryAnswering;
  private int unansweredQueryId;
  private long origin = START;
  private Gateway gateway;

  GatewayFixture() {
    restart();
  }

  GatewayFixture restart() {
    engineConnections.clear();
    clients.clear();
    unwritten.clear();
    writesBlocked = false;
    Map<String, Object> caps = minimalSettings ? Map.of("max_attempts", 3L) : SharedSettings.caps();
    Map<String, Object> look =
        Map.of(
            "name",
            "look",
            "semantics",
            "repeatable",
            "aim_us",
            minimalSettings ? 400_000L : 1_000_000L,
            "hard_limit_us",
            5_000_000L,
            "worth",
            1.0,
            "late_worth",
            0.5);
    Map<String, Object> book =
        Map.of(
            "name",
            "book",
            "semantics",
            "once",
            "aim_us",
            1_000_000L,
            "hard_limit_us",
            5_000_000L,
            "worth",
            1.0,
            "late_worth",
            0.5);
    Map<String, Object> load =
        Map.of(
            "name",
            "load",
            "semantics",
            "by_key",
            "aim_us",
            1_000_000L,
            "hard_limit_us",
            5_000_000L);
    Map<String, Object> file =
        Map.of(
            "name",
            "file",
            "semantics",
            "repeatable",
            "keep_order",
            true,
            "aim_us",
            1_000_000L,
            "hard_limit_us",
            5_000_000L,
            "worth",
            1.0);
    Map<String, Object> terms =
        Map.of(
            "caps",
            caps,
            "profiles",
            List.of(look, book, load, file),
            "models",
            List.of("std"),
            "zones",
            List.of("east"),
            "tick_us",
            5000L,
            "guarantees",
            minimalSettings ? Map.of() : Map.of("drain_grace_us", 100_000L),
            "family_info",
            Map.of("kind_cores", List.of(8L), "tells_every_us", 2_000_000L));
    EndpointWatchEvent known = new EndpointWatchEvent(1, true, fleet);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    servedEngines =
        fleet.stream()
            .map(e -> e.id() + " ready " + e.address() + ":5050 east std 0 0")
            .toArray(String[]::new);
    servedIndex = 1;
    discoveryAnswering = true;
    unansweredQueryId = -1;
    gateway =
        new Gateway(
            new GatewayConfig("n0", any, any, 7, descriptorLimit, terms, List.of(known)),
            DefaultDispatchPolicy::new,
            this,
            now);
    iterate(() -> {});
    // A whole number of sweeps, in which the list is confirmed; scenarios begin then.
    long before = now;
    advance(minimalSettings ? 300 : CONFIRM_MS);
    origin += now - before;
    return this;
  }

  /** With settings that leave out all that they may. */
  GatewayFixture withMinimalSettings() {
    minimalSettings = true;
    return restart();
  }

  GatewayFixture fleet(int engines, int descriptors) {
    fleet = IntStream.range(1, engines + 1).mapToObj(i -> entry("e" + i, "127.0.0." + i)).toList();
    descriptorLimit = descriptors;
    return restart();
  }

  private static EndpointEntry entry(String id, String address) {
    return new EndpointEntry(id, address, 5050, "east", "std", 0, Status.READY, 1, 0);
  }

  /** Adds an extension, from now on. */
  GatewayFixture withExtension(Function<GatewayExtension.ExtensionContext, GatewayExtension> made) {
    gateway.setExtension(made.apply(gateway.extensionContext()));
    return this;
  }

  GatewayFixture comment(String comment) {
    printed.append("# ").append(comment).append('\n');
    return this;
  }

  GatewayFixture blockWrites() {
    writesBlocked = true;
    return this;
  }

  GatewayFixture unblockWrites() {
    writesBlocked = false;
    return iterate(() -> {});
  }

  GatewayFixture post(String client, String id, String requestClass) {
    return clientSends(
        client,
        "POST /v1/"
            + requestClass
            + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "
            + id
            + "\r\nX-Deadline-Ms: 4500\r\nX-Estimate-Ms: 100\r\nContent-Length: 8\r\n\r\nSELECT 1");
  }

  /** Of the request class that keeps its order. */
  GatewayFixture postOrdered(String client, String id, String subject) {
    return clientSends(
        client,
        "POST /v1/file HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "
            + id
            + "\r\nX-Deadline-Ms: 4500\r\n"
            + "X-Subject: "
            + subject
            + "\r\nX-Estimate-Ms: 100\r\nContent-Length: 8\r\n\r\nSELECT 1");
  }

  GatewayFixture get(String client, String id) {
    return clientSends(client, "GET /v1/calls/" + id + " HTTP/1.1\r\nHost: a\r\n\r\n");
  }

  GatewayFixture clientSends(String name, String bytes) {
    PrintingChannel channel =
        clients.computeIfAbsent(
            name,
            newName -> {
              PrintingChannel made = new PrintingChannel(newName);
              made.owner = gateway.onClientConnected(made);
              return made;
            });
    return iterate(() -> channel.owner.onBytes(bytes.getBytes(StandardCharsets.UTF_8)));
  }

  GatewayFixture clientDisconnects(String client, DisconnectReason how) {
    return iterate(() -> clients.remove(client).owner.onClosed(how));
  }

  GatewayFixture engineConnects(int connection) {
    return iterate(() -> engineConnections.get(connection).owner.onOpened());
  }

  GatewayFixture engineDisconnects(int connection, DisconnectReason how) {
    return iterate(() -> engineConnections.get(connection).owner.onClosed(how));
  }

  GatewayFixture engineSends(int connection, String lines) {
    return iterate(
        () ->
            engineConnections
                .get(connection)
                .owner
                .onBytes(lines.replace("|", "\r\n").getBytes(StandardCharsets.UTF_8)));
  }

  GatewayFixture discoveryAnswers(int index, String... engines) {
    awaitDiscoveryQuery()
        .iterate(
            () -> gateway.onDiscoveryDatagram(DiscoveryAnswers.of(lastQueryId, index, engines)));
    if (index > servedIndex) {
      servedEngines = engines;
      servedIndex = index;
    }
    discoveryAnswering = true;
    return this;
  }

  /** The same, truncated behind its serial. */
  GatewayFixture discoveryAnswersTruncated(int index, String... engines) {
    awaitDiscoveryQuery()
        .iterate(
            () -> {
              byte[] bytes = DiscoveryAnswers.of(lastQueryId, index, engines);
              bytes[2] |= 2;
              gateway.onDiscoveryDatagram(Arrays.copyOf(bytes, DiscoveryAnswers.serialEnd(bytes)));
            });
    discoveryAnswering = true;
    return this;
  }

  /** The discovery service answers nothing from now on. */
  GatewayFixture silenceDiscovery() {
    discoveryAnswering = false;
    return this;
  }

  /** How many queries the discovery service got so far. */
  int discoveryQueries() {
    return discoveryQueries;
  }

  /** Time passes until the discovery service is queried. */
  private GatewayFixture awaitDiscoveryQuery() {
    discoveryAnswering = false;
    lastQueryId = -1;
    for (int i = 0; i < 20 && lastQueryId < 0; i++) {
      advance(25);
    }
    return this;
  }

  GatewayFixture drain() {
    gateway.drain();
    return this;
  }

  GatewayFixture printWhetherAllAnswered() {
    print(gateway.allAnswered() ? "all answered" : "not all answered");
    return this;
  }

  GatewayFixture passShutdownDeadline() {
    return iterate(() -> gateway.onShutdownDeadline());
  }

  GatewayFixture advance(long ms) {
    long until = now + ms * TENTHS;
    while (gateway.dueAt() <= until) {
      now = Math.max(now, gateway.dueAt());
      iterate(() -> {});
    }
    now = until;
    return this;
  }

  /** Time passes and no iteration is run. */
  GatewayFixture pauseGateway(long ms) {
    now += ms * TENTHS;
    return this;
  }

  /** Leaves what happens out of the trace, until it is called with false. */
  GatewayFixture muteTrace(boolean muted) {
    traceMuted = muted;
    return this;
  }

  GatewayFixture iterate(Runnable event) {
    gateway.beginIteration(now);
    event.run();
    gateway.endIteration();
    runDueIterations();
    while (unansweredQueryId >= 0) {
      int id = unansweredQueryId;
      unansweredQueryId = -1;
      gateway.beginIteration(now);
      gateway.onDiscoveryDatagram(DiscoveryAnswers.of(id, servedIndex, servedEngines));
      gateway.endIteration();
      runDueIterations();
    }
    return this;
  }

  private void runDueIterations() {
    while (gateway.dueAt() <= now) {
      gateway.beginIteration(now);
      gateway.endIteration();
    }
  }

  void assertMatches(String kept) {
    KeptTraces.assertMatches(kept, printed.toString());
  }

  private void print(String line) {
    if (traceMuted) {
      return;
    }
    printed.append(String.format("%5d  %s%n", (now - origin) / TENTHS, line));
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    PrintingChannel channel =
        new PrintingChannel("e" + to.getHostString().substring(8) + "/" + engineConnections.size());
    channel.owner = owner;
    engineConnections.add(channel);
    print("dial " + channel.name);
    return channel;
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    discoveryQueries++;
    lastQueryId = DiscoveryAnswers.queryId(datagram);
    unansweredQueryId = discoveryAnswering ? lastQueryId : -1;
  }

  @Override
  public void flush() {
    while (!writesBlocked && !unwritten.isEmpty()) {
      unwritten.remove(0).owner.onWritten();
    }
  }

  private final class PrintingChannel implements Channel {
    private final String name;
    private Owner owner;

    PrintingChannel(String name) {
      this.name = name;
    }

    @Override
    public void write(byte[] bytes) {
      print(
          name
              + " < "
              + new String(bytes, StandardCharsets.UTF_8)
                  .replaceAll("\r\n(Content-[^\r]*\r\n)*", "|")
                  .replaceAll("\\|\\|$", "|"));
      unwritten.add(this);
    }

    @Override
    public void close() {
      print(name + " closed");
    }

    @Override
    public void abort() {
      print(name + " dropped");
    }

    @Override
    public void pauseReading(boolean held) {
      print(name + (held ? " not read" : " read again"));
    }
  }
}
