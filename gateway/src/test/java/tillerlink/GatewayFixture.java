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
 * A gateway on a network driver that prints all output to a trace. Durations that methods take are
 * milliseconds; times in fields are tenths of a millisecond. In lines that engines send, | marks a
 * line end.
 */
final class GatewayFixture implements NetworkDriver {
  private static final int TENTHS_PER_MS = 10;
  static final long START_TIME = 17_000_000_000_000L;

  /** The time that passes before a scenario begins, in which the endpoint list is confirmed. */
  private static final long LIST_CONFIRMATION_MS = 125;

  /** The time at which a scenario begins on a newly created gateway, in tenths of a millisecond. */
  static final long SCENARIO_START = START_TIME + LIST_CONFIRMATION_MS * TENTHS_PER_MS;

  private final StringBuilder trace = new StringBuilder();
  private final List<PrintingChannel> engineConnections = new ArrayList<>();
  private final List<PrintingChannel> unwritten = new ArrayList<>();
  private final Map<String, PrintingChannel> clients = new LinkedHashMap<>();
  private List<EndpointEntry> fleet = List.of(entry("e1", "127.0.0.1"), entry("e2", "127.0.0.2"));
  private int descriptorLimit = 1024;
  private long now = START_TIME;
  private int lastQueryId;
  private int discoveryQueries;
  private boolean minimalSettings;
  private boolean writesBlocked;
  private boolean traceMuted;

  /** The endpoint list that the discovery service serves unless a test specifies an answer. */
  private String[] servedEngines;

  /** The version of that endpoint list. */
  private int servedSerial;

  private boolean discoveryResponding;

  /** The id of the discovery query that has not been answered, or -1. */
  private int unansweredQueryId;

  /** The time that the trace shows as 0. */
  private long traceOrigin = START_TIME;

  private Gateway gateway;

  GatewayFixture() {
    restart();
  }

  /** Replaces the gateway by a new one without connections; a new scenario begins. */
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
    Map<String, Object> settings =
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
    EndpointWatchEvent initialList = new EndpointWatchEvent(1, true, fleet);
    InetSocketAddress anyAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    servedEngines =
        fleet.stream()
            .map(endpoint -> endpoint.id() + " ready " + endpoint.address() + ":5050 east std 0 0")
            .toArray(String[]::new);
    servedSerial = 1;
    discoveryResponding = true;
    unansweredQueryId = -1;
    gateway =
        new Gateway(
            new GatewayConfig(
                "n0", anyAddress, anyAddress, 7, descriptorLimit, settings, List.of(initialList)),
            DefaultDispatchPolicy::new,
            this,
            now);
    iterate(() -> {});
    // A whole number of sweeps, in which the endpoint list is confirmed; then the scenario begins.
    long createdAt = now;
    advance(minimalSettings ? 300 : LIST_CONFIRMATION_MS);
    traceOrigin += now - createdAt;
    return this;
  }

  /** Restarts with settings that omit everything optional. */
  GatewayFixture withMinimalSettings() {
    minimalSettings = true;
    return restart();
  }

  /**
   * Restarts with other engines.
   *
   * @param engines the number of engines
   * @param descriptors the limit on file descriptors, which limits the engine connections
   */
  GatewayFixture fleet(int engines, int descriptors) {
    fleet = IntStream.range(1, engines + 1).mapToObj(i -> entry("e" + i, "127.0.0." + i)).toList();
    descriptorLimit = descriptors;
    return restart();
  }

  private static EndpointEntry entry(String id, String address) {
    return new EndpointEntry(id, address, 5050, "east", "std", 0, Status.READY, 1, 0);
  }

  /** Adds an extension to the current gateway. */
  GatewayFixture withExtension(
      Function<GatewayExtension.ExtensionContext, GatewayExtension> factory) {
    gateway.setExtension(factory.apply(gateway.extensionContext()));
    return this;
  }

  /** Adds a comment line to the trace. */
  GatewayFixture comment(String comment) {
    trace.append("# ").append(comment).append('\n');
    return this;
  }

  /** Leaves all writes incomplete until {@link #unblockWrites}. */
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

  /** Sends a request of the class that preserves the order of requests with the same subject. */
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

  /** Lets a client send bytes, after connecting it if it is not connected. */
  GatewayFixture clientSends(String name, String bytes) {
    PrintingChannel channel =
        clients.computeIfAbsent(
            name,
            newName -> {
              PrintingChannel newChannel = new PrintingChannel(newName);
              newChannel.owner = gateway.onClientConnected(newChannel);
              return newChannel;
            });
    return iterate(() -> channel.owner.onBytes(bytes.getBytes(StandardCharsets.UTF_8)));
  }

  GatewayFixture clientDisconnects(String client, DisconnectReason reason) {
    return iterate(() -> clients.remove(client).owner.onClosed(reason));
  }

  GatewayFixture engineConnects(int connection) {
    return iterate(() -> engineConnections.get(connection).owner.onOpened());
  }

  GatewayFixture engineDisconnects(int connection, DisconnectReason reason) {
    return iterate(() -> engineConnections.get(connection).owner.onClosed(reason));
  }

  GatewayFixture engineSends(int connection, String lines) {
    return iterate(
        () ->
            engineConnections
                .get(connection)
                .owner
                .onBytes(lines.replace("|", "\r\n").getBytes(StandardCharsets.UTF_8)));
  }

  /** Answers the next discovery query with the given endpoint list. */
  GatewayFixture discoveryAnswers(int serial, String... engines) {
    awaitDiscoveryQuery()
        .iterate(
            () -> gateway.onDiscoveryDatagram(DiscoveryAnswers.of(lastQueryId, serial, engines)));
    if (serial > servedSerial) {
      servedEngines = engines;
      servedSerial = serial;
    }
    discoveryResponding = true;
    return this;
  }

  /** Answers the next discovery query with an answer that is truncated after its serial. */
  GatewayFixture discoveryAnswersTruncated(int serial, String... engines) {
    awaitDiscoveryQuery()
        .iterate(
            () -> {
              byte[] bytes = DiscoveryAnswers.of(lastQueryId, serial, engines);
              bytes[2] |= 2;
              gateway.onDiscoveryDatagram(Arrays.copyOf(bytes, DiscoveryAnswers.serialEnd(bytes)));
            });
    discoveryResponding = true;
    return this;
  }

  /** Makes the discovery service ignore all further queries. */
  GatewayFixture silenceDiscovery() {
    discoveryResponding = false;
    return this;
  }

  /** Returns the number of queries that the discovery service has received. */
  int discoveryQueries() {
    return discoveryQueries;
  }

  /** Lets time pass until the discovery service receives a query. */
  private GatewayFixture awaitDiscoveryQuery() {
    discoveryResponding = false;
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

  /** Lets time pass, with an iteration at each time at which one is due. */
  GatewayFixture advance(long ms) {
    long until = now + ms * TENTHS_PER_MS;
    while (gateway.dueAt() <= until) {
      now = Math.max(now, gateway.dueAt());
      iterate(() -> {});
    }
    now = until;
    return this;
  }

  /** Lets time pass without running an iteration, as a pause of the process does. */
  GatewayFixture pauseGateway(long ms) {
    now += ms * TENTHS_PER_MS;
    return this;
  }

  /** Stops printing to the trace, or starts again if the argument is false. */
  GatewayFixture muteTrace(boolean muted) {
    traceMuted = muted;
    return this;
  }

  /** Runs an iteration with an event and all iterations that are due after it. */
  GatewayFixture iterate(Runnable event) {
    gateway.beginIteration(now);
    event.run();
    gateway.endIteration();
    runDueIterations();
    while (unansweredQueryId >= 0) {
      int id = unansweredQueryId;
      unansweredQueryId = -1;
      gateway.beginIteration(now);
      gateway.onDiscoveryDatagram(DiscoveryAnswers.of(id, servedSerial, servedEngines));
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

  void assertMatches(String traceName) {
    KeptTraces.assertMatches(traceName, trace.toString());
  }

  private void print(String line) {
    if (traceMuted) {
      return;
    }
    trace.append(String.format("%5d  %s%n", (now - traceOrigin) / TENTHS_PER_MS, line));
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
    unansweredQueryId = discoveryResponding ? lastQueryId : -1;
  }

  @Override
  public void flush() {
    while (!writesBlocked && !unwritten.isEmpty()) {
      unwritten.remove(0).owner.onWritten();
    }
  }

  /** A channel that prints its output to the trace. */
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
      print(name + " aborted");
    }

    @Override
    public void pauseReading(boolean paused) {
      print(name + (paused ? " reading paused" : " reading resumed"));
    }
  }
}
