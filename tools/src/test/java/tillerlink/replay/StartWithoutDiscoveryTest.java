package tillerlink.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.endpointcache.EndpointHistory;
import tillerlink.fleet.Fleet;
import tillerlink.model.Effect;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/**
 * Starts gateways from cached endpoint lists of different ages while the discovery service is down,
 * which lasts eight seconds. Engines that a list shows as draining, or that have ended, must get
 * nothing in that time, and no rule may be violated.
 */
class StartWithoutDiscoveryTest {
  private static final long SECOND = 10_000;
  private static final long HOUR = 3600 * SECOND;
  private static final long START = 17_000_000_000_000L;
  private static final long DEADLINE = 2 * SECOND;
  private static final List<RequestClassSpec> REQUEST_CLASSES =
      List.of(
          new RequestClassSpec(
              "look", Effect.PURE, 1, SECOND, DEADLINE, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "book", Effect.EFFECTFUL, 1, SECOND, DEADLINE, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "sheet",
              Effect.PURE,
              1,
              SECOND,
              DEADLINE,
              1,
              0.5,
              List.of("small-8"),
              0,
              1,
              List.of()));

  /** Counts the attempts sent to each engine. */
  private static final class CountingAuditor extends Auditor {
    private final Map<String, Integer> sent = new TreeMap<>();
    private final Set<Integer> gateways = new HashSet<>();
    private int sentToUnavailable;

    CountingAuditor(Fleet fleet) {
      super(fleet, REQUEST_CLASSES);
    }

    @Override
    public void onAttemptSent(long now, int gateway, String engine, String id) {
      super.onAttemptSent(now, gateway, engine, id);
      sent.merge(engine, 1, Integer::sum);
      sentToUnavailable += now < START + 8 * SECOND && Set.of("e2", "e3").contains(engine) ? 1 : 0;
      gateways.add(gateway);
    }
  }

  /**
   * Returns a cached endpoint list of a given age. Engine e2 was draining and e3 had just ended;
   * all others were ready.
   *
   * @param age in tenths of a millisecond; negative if the clock was ahead when the list was stored
   */
  private static NavigableMap<String, byte[]> cachedList(EmulatedCluster cluster, long age) {
    NavigableMap<String, byte[]> stored = new TreeMap<>();
    EndpointHistory history =
        new EndpointHistory(
            new TreeMap<>(),
            DEADLINE,
            13 * SECOND,
            24 * HOUR,
            (key, value, soon) -> {
              if (value == null) {
                stored.remove(key);
              } else {
                stored.put(key, value);
              }
            });
    List<EndpointEntry> entries = new ArrayList<>(cluster.list());
    history.onEndpointsReceived(START - age - SECOND, new EndpointWatchEvent(1, true, entries));
    entries.removeIf(entry -> entry.id().equals("e3"));
    entries.replaceAll(
        entry ->
            entry.id().equals("e2")
                ? new EndpointEntry(
                    entry.id(),
                    entry.address(),
                    entry.port(),
                    entry.zone(),
                    entry.kind(),
                    entry.cell(),
                    Status.DRAINING,
                    entry.weight(),
                    entry.startedMs())
                : entry);
    history.onEndpointsReceived(START - age, new EndpointWatchEvent(2, true, entries));
    return stored;
  }

  /** A start: its line of the kept trace and its auditor. */
  private record Start(String line, CountingAuditor auditor) {}

  private static Start play(String name, int gateways, Long age, boolean down) throws IOException {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
    Fleet fleet = Fleet.of(gateways, 12);
    CountingAuditor auditor = new CountingAuditor(fleet);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, auditor, START);
    NavigableMap<String, byte[]> stored = age == null ? new TreeMap<>() : cachedList(cluster, age);
    cluster.discoveryDownUntil(down ? START + 8 * SECOND : 0);
    cluster.endpointCaches(
        gateway ->
            new EndpointHistory(
                stored, DEADLINE, 13 * SECOND, 24 * HOUR, (key, value, soon) -> {}));
    cluster.startGateways(DefaultDispatchPolicy::new, 4);
    ReplayMetrics metrics = new ReplayMetrics(REQUEST_CLASSES);
    ReplayClients clients =
        new ReplayClients(
            cluster, new GatewayConnections(cluster), metrics, new RequestEncoder(4, 0.2));
    int count = 6000;
    for (int i = 0; i < count; i++) {
      Arrival arrival = new Arrival(i * 20L, i, i % 3, 1000 + i % 7 * 200, 1, i % 16, i * 31L);
      cluster.timeline.at(START + arrival.at(), () -> clients.arrive(arrival));
    }
    StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-12s", name));
    long servedBefore = 0;
    for (int second = 1; second <= 13; second++) {
      while (cluster.timeline.next() <= START + second * SECOND) {
        cluster.timeline.step();
      }
      long served = metrics.ended(End.IN_TIME);
      line.append(String.format(Locale.ROOT, " %4d", served - servedBefore));
      servedBefore = served;
    }
    while (metrics.arrived() < count || clients.open() > 0) {
      cluster.timeline.step();
    }
    assertTrue(auditor.counts().isEmpty(), name + auditor.violations());
    assertTrue(metrics.addsUp());
    assertTrue(
        !down || auditor.sentToUnavailable == 0,
        name + ": e2 or e3 got an attempt while discovery was down");
    line.append(String.format(Locale.ROOT, "  turned back %4d%n", metrics.ended(End.TURNED_BACK)));
    return new Start(line.toString(), auditor);
  }

  /**
   * Compares the number of requests served in each second after the start with the kept trace. 500
   * requests a second arrive, and the discovery service is back after eight seconds.
   */
  @Test
  void startFromListsOfAllAgesGivesTheKeptTrace() throws IOException {
    StringBuilder trace = new StringBuilder();
    Map<String, Long> ages = new LinkedHashMap<>();
    ages.put("a minute", 60 * SECOND);
    ages.put("an hour", HOUR);
    ages.put("six hours", 6 * HOUR);
    ages.put("a day", 25 * HOUR);
    ages.put("ahead", -HOUR);
    ages.put("nothing", null);
    for (Map.Entry<String, Long> age : ages.entrySet()) {
      Start start = play(age.getKey(), 3, age.getValue(), true);
      trace.append(start.line());
    }
    trace.append(play("discovery up", 3, HOUR, false).line());
    ReplayTest.assertKept("blind-start", trace.toString());
  }

  /**
   * While the discovery service is down, a hundred gateways distribute their load over the engines
   * of the cached list, so that no engine gets 2,400 of 6,000 requests. No engine that was draining
   * or has ended gets a request.
   */
  @Test
  void hundredGatewaysDistributeTheirLoad() throws IOException {
    Start start = play("a hundred", 100, 60 * SECOND, true);
    assertEquals(100, start.auditor().gateways.size());
    int maxAttempts =
        start.auditor().sent.values().stream().mapToInt(attempts -> attempts).max().orElse(0);
    assertTrue(
        maxAttempts < 2400,
        "the busiest engine got " + maxAttempts + " of 6000: " + start.auditor().sent);
  }
}
