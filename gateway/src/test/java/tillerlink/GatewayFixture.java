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

/** A driver that prints. Times are milliseconds; in what engines say, | is a line's end. */
final class GatewayFixture implements NetworkDriver {
  private static final int TENTHS = 10;
  static final long START = 17_000_000_000_000L;
  private static final long CONFIRM_MS = 125;

  /** When the story of a new stage begins: the list was confirmed by then. */
  static final long STORY = START + CONFIRM_MS * TENTHS;

  private final StringBuilder printed = new StringBuilder();
  private final List<Printed> dialed = new ArrayList<>();
  private final List<Printed> unsent = new ArrayList<>();
  private final Map<String, Printed> clients = new LinkedHashMap<>();
  private List<EndpointEntry> fleet = List.of(entry("e1", "127.0.0.1"), entry("e2", "127.0.0.2"));
  private int sockets = 1024;
  private long now = START;
  private int query;
  private int questions;
  private boolean terse;
  private boolean stuck;
  private boolean quiet;

  /**
   * What the discovery service answers unless a test has news of it, and the question that waits
   * for it.
   */
  private String[] served;

  private int servedIndex;
  private boolean answering;
  private int unanswered;
  private long origin = START;
  private Gateway gateway;

  GatewayFixture() {
    fresh();
  }

  GatewayFixture fresh() {
    dialed.clear();
    clients.clear();
    unsent.clear();
    stuck = false;
    Map<String, Object> caps = terse ? Map.of("max_attempts", 3L) : SharedSettings.caps();
    Map<String, Object> look =
        Map.of(
            "name",
            "look",
            "semantics",
            "repeatable",
            "aim_us",
            terse ? 400_000L : 1_000_000L,
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
            terse ? Map.of() : Map.of("drain_grace_us", 100_000L),
            "family_info",
            Map.of("kind_cores", List.of(8L), "tells_every_us", 2_000_000L));
    EndpointWatchEvent known = new EndpointWatchEvent(1, true, fleet);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    served =
        fleet.stream()
            .map(e -> e.id() + " ready " + e.address() + ":5050 east std 0 0")
            .toArray(String[]::new);
    servedIndex = 1;
    answering = true;
    unanswered = -1;
    gateway =
        new Gateway(
            new GatewayConfig("n0", any, any, 7, sockets, terms, List.of(known)),
            DefaultDispatchPolicy::new,
            this,
            now);
    turn(() -> {});
    // A whole number of sweeps, in which the list is confirmed; stories begin then.
    long before = now;
    pass(terse ? 300 : CONFIRM_MS);
    origin += now - before;
    return this;
  }

  /** With settings that leave out all that they may. */
  GatewayFixture terse() {
    terse = true;
    return fresh();
  }

  GatewayFixture fleet(int engines, int descriptors) {
    fleet = IntStream.range(1, engines + 1).mapToObj(i -> entry("e" + i, "127.0.0." + i)).toList();
    sockets = descriptors;
    return fresh();
  }

  private static EndpointEntry entry(String id, String address) {
    return new EndpointEntry(id, address, 5050, "east", "std", 0, Status.READY, 1, 0);
  }

  /** Adds an extension, from now on. */
  GatewayFixture withExtension(Function<GatewayExtension.ExtensionContext, GatewayExtension> made) {
    gateway.setExtension(made.apply(gateway.extensionContext()));
    return this;
  }

  GatewayFixture say(String comment) {
    printed.append("# ").append(comment).append('\n');
    return this;
  }

  GatewayFixture stuck() {
    stuck = true;
    return this;
  }

  GatewayFixture letGo() {
    stuck = false;
    return turn(() -> {});
  }

  GatewayFixture post(String client, String id, String requestClass) {
    return client(
        client,
        "POST /v1/"
            + requestClass
            + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "
            + id
            + "\r\nX-Deadline-Ms: 4500\r\nX-Estimate-Ms: 100\r\nContent-Length: 8\r\n\r\nSELECT 1");
  }

  /** Of the request class that keeps its order. */
  GatewayFixture ordered(String client, String id, String subject) {
    return client(
        client,
        "POST /v1/file HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "
            + id
            + "\r\nX-Deadline-Ms: 4500\r\n"
            + "X-Subject: "
            + subject
            + "\r\nX-Estimate-Ms: 100\r\nContent-Length: 8\r\n\r\nSELECT 1");
  }

  GatewayFixture get(String client, String id) {
    return client(client, "GET /v1/calls/" + id + " HTTP/1.1\r\nHost: a\r\n\r\n");
  }

  GatewayFixture client(String name, String bytes) {
    Printed channel =
        clients.computeIfAbsent(
            name,
            n -> {
              Printed made = new Printed(n);
              made.owner = gateway.onClientConnected(made);
              return made;
            });
    return turn(() -> channel.owner.onBytes(bytes.getBytes(StandardCharsets.UTF_8)));
  }

  GatewayFixture breaks(String client, DisconnectReason how) {
    return turn(() -> clients.remove(client).owner.onClosed(how));
  }

  GatewayFixture connected(int link) {
    return turn(() -> dialed.get(link).owner.onOpened());
  }

  GatewayFixture ends(int link, DisconnectReason how) {
    return turn(() -> dialed.get(link).owner.onClosed(how));
  }

  GatewayFixture engine(int link, String says) {
    return turn(
        () ->
            dialed
                .get(link)
                .owner
                .onBytes(says.replace("|", "\r\n").getBytes(StandardCharsets.UTF_8)));
  }

  GatewayFixture news(int index, String... engines) {
    asked().turn(() -> gateway.onDiscoveryDatagram(DiscoveryAnswers.of(query, index, engines)));
    if (index > servedIndex) {
      served = engines;
      servedIndex = index;
    }
    answering = true;
    return this;
  }

  /** The same, truncated behind its serial. */
  GatewayFixture truncated(int index, String... engines) {
    asked()
        .turn(
            () -> {
              byte[] bytes = DiscoveryAnswers.of(query, index, engines);
              bytes[2] |= 2;
              gateway.onDiscoveryDatagram(Arrays.copyOf(bytes, DiscoveryAnswers.serialEnd(bytes)));
            });
    answering = true;
    return this;
  }

  /** The discovery service answers nothing from now on. */
  GatewayFixture silentNames() {
    answering = false;
    return this;
  }

  /** Of the discovery service, so far. */
  int questions() {
    return questions;
  }

  /** Time passes until the discovery service is asked. */
  private GatewayFixture asked() {
    answering = false;
    query = -1;
    for (int i = 0; i < 20 && query < 0; i++) {
      pass(25);
    }
    return this;
  }

  GatewayFixture drain() {
    gateway.drain();
    return this;
  }

  GatewayFixture answered() {
    print(gateway.allAnswered() ? "all answered" : "not all answered");
    return this;
  }

  GatewayFixture timeUp() {
    return turn(() -> gateway.onShutdownDeadline());
  }

  GatewayFixture pass(long ms) {
    long until = now + ms * TENTHS;
    while (gateway.dueAt() <= until) {
      now = Math.max(now, gateway.dueAt());
      turn(() -> {});
    }
    now = until;
    return this;
  }

  /** Time passes and no turn is taken. */
  GatewayFixture stall(long ms) {
    now += ms * TENTHS;
    return this;
  }

  /** Leaves what happens out of the trace. */
  GatewayFixture quiet(boolean on) {
    quiet = on;
    return this;
  }

  GatewayFixture turn(Runnable event) {
    gateway.beginIteration(now);
    event.run();
    gateway.endIteration();
    goOn();
    while (unanswered >= 0) {
      int id = unanswered;
      unanswered = -1;
      gateway.beginIteration(now);
      gateway.onDiscoveryDatagram(DiscoveryAnswers.of(id, servedIndex, served));
      gateway.endIteration();
      goOn();
    }
    return this;
  }

  private void goOn() {
    while (gateway.dueAt() <= now) {
      gateway.beginIteration(now);
      gateway.endIteration();
    }
  }

  void matches(String kept) {
    KeptTraces.assertMatches(kept, printed.toString());
  }

  private void print(String line) {
    if (quiet) {
      return;
    }
    printed.append(String.format("%5d  %s%n", (now - origin) / TENTHS, line));
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    Printed channel = new Printed("e" + to.getHostString().substring(8) + "/" + dialed.size());
    channel.owner = owner;
    dialed.add(channel);
    print("dial " + channel.name);
    return channel;
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    questions++;
    query = DiscoveryAnswers.queryId(datagram);
    unanswered = answering ? query : -1;
  }

  @Override
  public void flush() {
    while (!stuck && !unsent.isEmpty()) {
      unsent.remove(0).owner.onWritten();
    }
  }

  private final class Printed implements Channel {
    private final String name;
    private Owner owner;

    Printed(String name) {
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
      unsent.add(this);
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
