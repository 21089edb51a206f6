package tillerlink.endpointcache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;

/**
 * What a restarted gateway knows of the endpoints, what is persisted for it, and which lists are
 * held back.
 */
class EndpointHistoryTest {
  private static final long SECOND = 10_000;
  private static final long DEADLINE = 2 * SECOND;
  private static final long HOUR = 3600 * SECOND;
  private static final long NOW = 17_000_000_000_000L;

  private final TreeMap<String, byte[]> stored = new TreeMap<>();
  private int writes;

  private EndpointHistory history() {
    return new EndpointHistory(
        new TreeMap<>(stored),
        DEADLINE,
        13 * SECOND,
        24 * HOUR,
        (key, value, soon) -> {
          writes++;
          if (value == null) {
            stored.remove(key);
          } else {
            stored.put(key, value);
          }
        });
  }

  private static EndpointEntry engine(String id, Status standing, long startedMs) {
    return new EndpointEntry(id, "127.0.0.1", 5050, "east", "std", 0, standing, 1, startedMs);
  }

  private static EndpointWatchEvent list(long index, String... ids) {
    List<EndpointEntry> entries = new ArrayList<>();
    for (String id : ids) {
      boolean drains = id.endsWith("-");
      entries.add(
          engine(
              drains ? id.substring(0, id.length() - 1) : id,
              drains ? Status.DRAINING : Status.READY,
              0));
    }
    return new EndpointWatchEvent(index, true, entries);
  }

  private static String print(EndpointWatchEvent event) {
    StringBuilder all = new StringBuilder();
    event
        .entries()
        .forEach(
            e -> all.append(e.id()).append(e.standing() == Status.DRAINING ? "-" : "").append(' '));
    return all.toString().strip();
  }

  @Test
  void stalenessGrowsWithAgeAndChangeRate() {
    StringBuilder all = new StringBuilder();
    for (long age :
        new long[] {
          -2 * HOUR,
          -SECOND,
          0,
          60 * SECOND,
          HOUR,
          6 * HOUR,
          20 * HOUR,
          25 * HOUR,
          Long.MAX_VALUE / 2
        }) {
      for (double perHour : new double[] {0, 0.5, 60}) {
        all.append(StalenessModel.of(age, perHour / HOUR, DEADLINE, 24 * HOUR)).append(' ');
      }
      all.append('\n');
    }
    assertEquals(
        """
        OLD OLD OLD\s
        FRESH FRESH FRESH\s
        FRESH FRESH FRESH\s
        FRESH FRESH TOO_OLD\s
        AGEING OLD TOO_OLD\s
        OLD TOO_OLD TOO_OLD\s
        TOO_OLD TOO_OLD TOO_OLD\s
        TOO_OLD TOO_OLD TOO_OLD\s
        TOO_OLD TOO_OLD TOO_OLD\s
        """,
        all.toString());
  }

  @Test
  void aCachedListBringsNoEndpointBack() {
    EndpointHistory first = history();
    first.onEndpointsReceived(NOW, list(1, "a", "b", "c", "d"));
    first.onEndpointsReceived(NOW + SECOND, list(2, "a", "b-", "c"));
    EndpointCache.CachedList cached = history().loadAtStart(NOW + 60 * SECOND);
    assertEquals("a b- c", print(cached.engines()));
    assertEquals(0.9, cached.trust().get("a"));
    assertNull(history().loadAtStart(NOW + 30 * HOUR).engines());
    EndpointHistory third = history();
    third.onEndpointsReceived(NOW + 500 * DEADLINE, list(3, "a", "c"));
    assertEquals(
        "[engine/a, engine/b, engine/c, list]",
        stored.keySet().toString(),
        "d has been gone for long enough");
  }

  @Test
  void anEngineThatWasWarmingUpCountsAsJustStarted() {
    history()
        .onEndpointsReceived(
            NOW,
            new EndpointWatchEvent(
                1,
                true,
                List.of(
                    engine("old", Status.READY, NOW / 10 - 60_000),
                    engine("new", Status.READY, NOW / 10 - 5000))));
    long start = NOW + 100 * SECOND;
    List<EndpointEntry> entries = history().loadAtStart(start).engines().entries();
    assertEquals(
        "new " + start / 10 + " old " + (NOW / 10 - 60_000),
        entries.get(0).id()
            + " "
            + entries.get(0).startedMs()
            + " "
            + entries.get(1).id()
            + " "
            + entries.get(1).startedMs());
  }

  @Test
  void aMassLossIsAcceptedOnceItIsReportedRepeatedly() {
    EndpointHistory history = history();
    history.onEndpointsReceived(NOW, list(1, "a", "b", "c", "d"));
    assertEquals("a b- c- d-", print(history.onEndpointsReceived(NOW + SECOND, list(2, "a"))));
    assertEquals(
        "a b- c- d-", print(history.onEndpointsReceived(NOW + SECOND + 2000, list(2, "a"))));
    assertEquals(
        "a b c d",
        print(history.onEndpointsReceived(NOW + SECOND + 4000, list(3, "a", "b", "c", "d"))),
        "it was the list's fault");
    for (int i = 0; i < 2; i++) {
      assertEquals(
          "a- b- c- d-", print(history.onEndpointsReceived(NOW + 2 * SECOND + i * 2000L, list(4))));
    }
    assertEquals(
        "",
        print(history.onEndpointsReceived(NOW + 3 * SECOND, list(4))),
        "reported three times over a while");
    assertEquals("", print(history().loadAtStart(NOW + 4 * SECOND).engines()));
  }

  @Test
  void aLossOfFewEndpointsIsAcceptedAtOnce() {
    EndpointHistory history = history();
    history.onEndpointsReceived(NOW, list(1, "a", "b", "c", "d"));
    assertEquals("a b", print(history.onEndpointsReceived(NOW + SECOND, list(2, "a", "b"))));
  }

  @Test
  void unchangedListsAreWrittenRarely() {
    EndpointHistory history = history();
    for (int i = 0; i < 1000; i++) {
      history.onEndpointsReceived(NOW + i * 2000L, list(i + 1, "a", "b"));
    }
    assertTrue(writes <= 2 + 1 + 200 / 2 + 1, writes + " writes in 200 s");
  }

  @Test
  void malformedValuesAreIgnored() {
    history().onEndpointsReceived(NOW, list(1, "a", "b"));
    stored.put("engine/a", new byte[] {1, 2, 3});
    stored.put(
        "engine/x",
        "127.0.0.1\tport\teast\tstd\t0\tREADY\t1\t0\t0\t1".getBytes(StandardCharsets.UTF_8));
    assertEquals("b", print(history().loadAtStart(NOW + SECOND).engines()));
    stored.put("list", "soon".getBytes(StandardCharsets.UTF_8));
    assertNull(history().loadAtStart(NOW + SECOND).engines());
  }
}
