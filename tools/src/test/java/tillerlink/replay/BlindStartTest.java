package tillerlink.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
 * Gateways that start with discovery down, from lists of all ages, and discovery that comes back.
 */
class BlindStartTest {
  private static final long SECOND = 10_000;
  private static final long HOUR = 3600 * SECOND;
  private static final long START = 17_000_000_000_000L;
  private static final long LONGEST = 2 * SECOND;
  private static final List<RequestClassSpec> REQUEST_CLASSES =
      List.of(
          new RequestClassSpec(
              "look", Effect.PURE, 1, SECOND, LONGEST, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "book", Effect.EFFECTFUL, 1, SECOND, LONGEST, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "sheet",
              Effect.PURE,
              1,
              SECOND,
              LONGEST,
              1,
              0.5,
              List.of("small-8"),
              0,
              1,
              List.of()));

  /** Counts what each engine is sent. */
  private static final class Counted extends Auditor {
    private final Map<String, Integer> sent = new TreeMap<>();
    private final Set<Integer> gateways = new HashSet<>();
    private int outOfList;

    Counted(Fleet fleet) {
      super(fleet, REQUEST_CLASSES);
    }

    @Override
    public void sent(long now, int gateway, String engine, String id) {
      super.sent(now, gateway, engine, id);
      sent.merge(engine, 1, Integer::sum);
      outOfList += now < START + 8 * SECOND && Set.of("e2", "e3").contains(engine) ? 1 : 0;
      gateways.add(gateway);
    }
  }

  /**
   * The list as it was so long ago: e2 drained then and e3 had ended a little before; all others
   * stand.
   */
  private static TreeMap<String, byte[]> remembered(EmulatedCluster cluster, long age) {
    TreeMap<String, byte[]> stored = new TreeMap<>();
    EndpointHistory memory =
        new EndpointHistory(
            new TreeMap<>(),
            LONGEST,
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

  private record Told(String line, Counted auditor) {}

  private static Told play(String name, int gateways, Long age, boolean down) throws IOException {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
    Fleet fleet = Fleet.of(gateways, 12);
    Counted auditor = new Counted(fleet);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, auditor, START);
    TreeMap<String, byte[]> stored = age == null ? new TreeMap<>() : remembered(cluster, age);
    cluster.discoveryDownUntil(down ? START + 8 * SECOND : 0);
    cluster.endpointCaches(
        place ->
            new EndpointHistory(stored, LONGEST, 13 * SECOND, 24 * HOUR, (key, value, soon) -> {}));
    cluster.startGateways(DefaultDispatchPolicy::new, 4);
    Figures figures = new Figures(REQUEST_CLASSES);
    Front front = new Front(cluster, new GatewayConnections(cluster), figures, new Wording(4, 0.2));
    int count = 6000;
    for (int i = 0; i < count; i++) {
      Arrival arrival = new Arrival(i * 20L, i, i % 3, 1000 + i % 7 * 200, 1, i % 16, i * 31L);
      cluster.timeline.at(START + arrival.at(), () -> front.arrive(arrival));
    }
    StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-12s", name));
    long before = 0;
    for (int second = 1; second <= 13; second++) {
      while (cluster.timeline.next() <= START + second * SECOND) {
        cluster.timeline.step();
      }
      long served = figures.ended(End.IN_TIME);
      line.append(String.format(Locale.ROOT, " %4d", served - before));
      before = served;
    }
    while (figures.arrived() < count || front.open() > 0) {
      cluster.timeline.step();
    }
    assertTrue(auditor.counts().isEmpty(), name + auditor.violations());
    assertTrue(figures.addsUp());
    assertTrue(
        !down || auditor.outOfList == 0,
        name + ": e2 or e3 was sent work while discovery was down");
    line.append(String.format(Locale.ROOT, "  turned back %4d%n", figures.ended(End.TURNED_BACK)));
    return new Told(line.toString(), auditor);
  }

  /**
   * Requests served in each second of a start, 500 a second asked for; discovery comes back after
   * eight.
   */
  @Test
  void listsOfAllAges() throws IOException {
    StringBuilder all = new StringBuilder();
    Map<String, Long> ages = new java.util.LinkedHashMap<>();
    ages.put("a minute", 60 * SECOND);
    ages.put("an hour", HOUR);
    ages.put("six hours", 6 * HOUR);
    ages.put("a day", 25 * HOUR);
    ages.put("ahead", -HOUR);
    ages.put("nothing", null);
    Map<String, Counted> seen = new HashMap<>();
    for (Map.Entry<String, Long> age : ages.entrySet()) {
      Told told = play(age.getKey(), 3, age.getValue(), true);
      all.append(told.line());
      seen.put(age.getKey(), told.auditor());
    }
    all.append(play("discovery up", 3, HOUR, false).line());
    ReplayTest.kept("blind-start", all.toString());
  }

  /**
   * While discovery is down nothing goes to an engine that was seen draining or gone; a hundred
   * gateways do not herd.
   */
  @Test
  void aHundredGatewaysAtOnce() throws IOException {
    Told told = play("a hundred", 100, 60 * SECOND, true);
    assertEquals(100, told.auditor().gateways.size());
    int most = told.auditor().sent.values().stream().mapToInt(n -> n).max().orElse(0);
    assertTrue(
        most < 2400,
        "the engine that was sent most had " + most + " of 6000: " + told.auditor().sent);
  }
}
