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
 * Tests which endpoints a restarted gateway loads from the cache, which values are persisted, and
 * which losses of endpoints are deferred.
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
        (key, value, endpointChanged) -> {
          writes++;
          if (value == null) {
            stored.remove(key);
          } else {
            stored.put(key, value);
          }
        });
  }

  private static EndpointEntry engine(String id, Status status, long startedMs) {
    return new EndpointEntry(id, "127.0.0.1", 5050, "east", "std", 0, status, 1, startedMs);
  }

  /**
   * Returns a complete list; an id with the suffix {@code -} gives an endpoint that is draining.
   */
  private static EndpointWatchEvent list(long index, String... ids) {
    List<EndpointEntry> entries = new ArrayList<>();
    for (String id : ids) {
      boolean draining = id.endsWith("-");
      entries.add(
          engine(
              draining ? id.substring(0, id.length() - 1) : id,
              draining ? Status.DRAINING : Status.READY,
              0));
    }
    return new EndpointWatchEvent(index, true, entries);
  }

  /**
   * Returns the ids of the event's endpoints; those that are draining have the suffix {@code -}.
   */
  private static String format(EndpointWatchEvent event) {
    StringBuilder ids = new StringBuilder();
    event
        .entries()
        .forEach(
            entry ->
                ids.append(entry.id())
                    .append(entry.standing() == Status.DRAINING ? "-" : "")
                    .append(' '));
    return ids.toString().strip();
  }

  @Test
  void stalenessGrowsWithAgeAndChangeRate() {
    StringBuilder ratings = new StringBuilder();
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
        ratings.append(StalenessModel.of(age, perHour / HOUR, DEADLINE, 24 * HOUR)).append(' ');
      }
      ratings.append('\n');
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
        ratings.toString());
  }

  @Test
  void cachedListContainsNoGoneEndpoint() {
    EndpointHistory first = history();
    first.onEndpointsReceived(NOW, list(1, "a", "b", "c", "d"));
    first.onEndpointsReceived(NOW + SECOND, list(2, "a", "b-", "c"));
    EndpointCache.CachedList cached = history().loadAtStart(NOW + 60 * SECOND);
    assertEquals("a b- c", format(cached.engines()));
    assertEquals(0.9, cached.trust().get("a"));
    assertNull(history().loadAtStart(NOW + 30 * HOUR).engines());
    EndpointHistory afterRetention = history();
    afterRetention.onEndpointsReceived(NOW + 500 * DEADLINE, list(3, "a", "c"));
    assertEquals(
        "[engine/a, engine/b, engine/c, list]",
        stored.keySet().toString(),
        "d has been gone for longer than the retention time");
  }

  @Test
  void engineThatWasWarmingUpIsTreatedAsJustStarted() {
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
  void massLossIsAcceptedOnceItIsReportedRepeatedly() {
    EndpointHistory history = history();
    history.onEndpointsReceived(NOW, list(1, "a", "b", "c", "d"));
    assertEquals("a b- c- d-", format(history.onEndpointsReceived(NOW + SECOND, list(2, "a"))));
    assertEquals(
        "a b- c- d-", format(history.onEndpointsReceived(NOW + SECOND + 2000, list(2, "a"))));
    assertEquals(
        "a b c d",
        format(history.onEndpointsReceived(NOW + SECOND + 4000, list(3, "a", "b", "c", "d"))),
        "a complete list revokes the deferred loss");
    for (int i = 0; i < 2; i++) {
      assertEquals(
          "a- b- c- d-",
          format(history.onEndpointsReceived(NOW + 2 * SECOND + i * 2000L, list(4))));
    }
    assertEquals(
        "",
        format(history.onEndpointsReceived(NOW + 3 * SECOND, list(4))),
        "the loss was reported three times over the minimum time");
    assertEquals("", format(history().loadAtStart(NOW + 4 * SECOND).engines()));
  }

  @Test
  void lossOfFewEndpointsIsAcceptedAtOnce() {
    EndpointHistory history = history();
    history.onEndpointsReceived(NOW, list(1, "a", "b", "c", "d"));
    assertEquals("a b", format(history.onEndpointsReceived(NOW + SECOND, list(2, "a", "b"))));
  }

  @Test
  void unchangedListsAreWrittenRarely() {
    EndpointHistory history = history();
    for (int i = 0; i < 1000; i++) {
      history.onEndpointsReceived(NOW + i * 2000L, list(i + 1, "a", "b"));
    }
    assertTrue(writes <= 2 + 1 + 200 / 2 + 1, writes + " writes in 200 s, expected at most 104");
  }

  @Test
  void malformedValuesAreIgnored() {
    history().onEndpointsReceived(NOW, list(1, "a", "b"));
    stored.put("engine/a", new byte[] {1, 2, 3});
    stored.put(
        "engine/x",
        "127.0.0.1\tport\teast\tstd\t0\tREADY\t1\t0\t0\t1".getBytes(StandardCharsets.UTF_8));
    assertEquals("b", format(history().loadAtStart(NOW + SECOND).engines()));
    stored.put("list", "malformed".getBytes(StandardCharsets.UTF_8));
    assertNull(history().loadAtStart(NOW + SECOND).engines());
  }
}
