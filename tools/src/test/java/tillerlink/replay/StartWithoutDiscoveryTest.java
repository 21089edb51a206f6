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
 * Gateways that start while discovery is down, from cached endpoint lists of all ages, until
 * discovery is back.
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

  /** Counts the attempts at each engine. */
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

  /** The cached list of that age: e2 was draining and e3 had just ended; all others were ready. */
  private static NavigableMap<String, byte[]> cachedList(EmulatedCluster cluster, long age) {
    NavigableMap<String, byte[]> stored = new TreeMap<>();
    EndpointHistory memory =
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
    List<EndpointEntry> all = new ArrayList<>(cluster.list());
    memory.onEndpointsReceived(START - age - SECOND, new EndpointWatchEvent(1, true, all));
    all.removeIf(entry -> entry.id().equals("e3"));
    all.replaceAll(
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
    memory.onEndpointsReceived(START - age, new EndpointWatchEvent(2, true, all));
    return stored;
  }

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
        place ->
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
    long before = 0;
    for (int second = 1; second <= 13; second++) {
      while (cluster.timeline.next() <= START + second * SECOND) {
        cluster.timeline.step();
      }
      long served = metrics.ended(End.IN_TIME);
      line.append(String.format(Locale.ROOT, " %4d", served - before));
      before = served;
    }
    while (metrics.arrived() < count || clients.open() > 0) {
      cluster.timeline.step();
    }
    assertTrue(auditor.counts().isEmpty(), name + auditor.violations());
    assertTrue(metrics.addsUp());
    assertTrue(
        !down || auditor.sentToUnavailable == 0,
        name + ": e2 or e3 was sent work while discovery was down");
    line.append(String.format(Locale.ROOT, "  turned back %4d%n", metrics.ended(End.TURNED_BACK)));
    return new Start(line.toString(), auditor);
  }

  /**
   * Requests served in each second after a start, of 500 a second; discovery is back after eight
   * seconds.
   */
  @Test
  void startFromListsOfAllAgesGivesTheKeptTrace() throws IOException {
    StringBuilder all = new StringBuilder();
    Map<String, Long> ages = new LinkedHashMap<>();
    ages.put("a minute", 60 * SECOND);
    ages.put("an hour", HOUR);
    ages.put("six hours", 6 * HOUR);
    ages.put("a day", 25 * HOUR);
    ages.put("ahead", -HOUR);
    ages.put("nothing", null);
    for (Map.Entry<String, Long> age : ages.entrySet()) {
      Start start = play(age.getKey(), 3, age.getValue(), true);
      all.append(start.line());
    }
    all.append(play("discovery up", 3, HOUR, false).line());
    ReplayTest.assertKept("blind-start", all.toString());
  }

  /**
   * While discovery is down no engine that was seen draining or gone gets a request, and a hundred
   * gateways spread their load.
   */
  @Test
  void hundredGatewaysSpreadTheirLoad() throws IOException {
    Start start = play("a hundred", 100, 60 * SECOND, true);
    assertEquals(100, start.auditor().gateways.size());
    int most = start.auditor().sent.values().stream().mapToInt(n -> n).max().orElse(0);
    assertTrue(
        most < 2400,
        "the engine that was sent most had " + most + " of 6000: " + start.auditor().sent);
  }
}
