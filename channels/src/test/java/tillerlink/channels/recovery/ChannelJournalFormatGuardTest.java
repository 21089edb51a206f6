package tillerlink.channels.recovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import tillerlink.channels.cue.CueProjection;
import tillerlink.channels.cue.Flag;
import tillerlink.channels.epoch.AcceptorState;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.CompactedState;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.journal.OrderedEvent;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.FieldReader;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.messages.channels.Kind;
import tillerlink.messages.channels.Span;

/**
 * Guards what a gateway keeps of its channels: events, agreed steps, promises, its incarnation and
 * the sum, by name and by value. What an earlier release kept must be found again, and written
 * again as it was.
 */
class ChannelJournalFormatGuardTest {
  private static final String EVENTS = "channel-journal.hex";
  private static final String SUMMED = "channel-journal-summed.hex";
  private static final List<String> VOTERS = List.of("n1", "n2", "s1");
  private static final long ONE = 0x1234567890L;
  private static final long OTHER = 0x22L;

  /** A table in memory that keeps at once. */
  private static final class MapKeep implements KeyValueStore {
    final NavigableMap<String, byte[]> values;

    MapKeep(Map<String, byte[]> values) {
      this.values = new TreeMap<>(values);
    }

    @Override
    public NavigableMap<String, byte[]> initialEntries() {
      return values;
    }

    @Override
    public boolean set(String name, byte[] value, Runnable kept) {
      if (value == null) {
        values.remove(name);
      } else {
        values.put(name, value);
      }
      if (kept != null) {
        kept.run();
      }
      return true;
    }
  }

  private static long stamp(int millis) {
    return 1_700_000_000_000L + millis << Entry.COUNTER;
  }

  private static Entry entry(
      long incarnation,
      int sequence,
      int millis,
      Kind kind,
      String cue,
      String text,
      String key,
      List<Dot> over) {
    boolean one = incarnation == ONE;
    return new Entry(
        one ? "n1" : "s1",
        one ? "north" : "süd",
        incarnation,
        sequence,
        stamp(millis),
        sequence == 4 ? "radio" : "tv",
        kind,
        cue,
        text,
        kind == Kind.AIR ? 1_700_000_000_500L : 0,
        key,
        over,
        sequence == 2 ? List.of(new Dot(one ? OTHER : ONE, 1, stamp(1))) : List.of());
  }

  /** Events of two gateways and two channels, of every kind, some of them late or repeated. */
  private static List<Entry> events() {
    Entry first = entry(ONE, 1, 1, Kind.CUE, "cue-1", "Größe", "key-1", List.of());
    Entry second = entry(ONE, 2, 2, Kind.CORRECTION, "cue-1", "two", "key-2", List.of(first.dot()));
    return List.of(
        first,
        second,
        entry(ONE, 3, 3, Kind.AIR, "cue-1", "", "", List.of(second.dot())),
        entry(ONE, 4, 4, Kind.NOTE, "", "hear", "", List.of()),
        entry(OTHER, 1, 1, Kind.CORRECTION, "cue-1", "beside", "", List.of(first.dot())),
        entry(OTHER, 2, 5, Kind.RETRACTION, "cue-2", "", "key-3", List.of()),
        entry(OTHER, 3, 2, Kind.CUE, "cue-3", "late", "key-1", List.of()),
        entry(ONE, 5, 9, Kind.CUE, "cue-4", "tail", "", List.of()));
  }

  private static List<Cut> cuts() {
    return List.of(
        new Cut(1, stamp(4), List.of(new Span(ONE, 1, 3), new Span(OTHER, 1, 1)), VOTERS),
        new Cut(
            2, stamp(5), List.of(new Span(ONE, 4, 4), new Span(OTHER, 2, 3)), List.of("n1", "s1")));
  }

  private static AcceptorState voting() throws Exception {
    AcceptorState voting = new AcceptorState(null);
    voting.started("n2", 0x33);
    voting.started("s1", OTHER);
    voting.accept(new Ballot(300, "n1"), cuts().get(1));
    voting.promise(new Ballot(301, "s1"));
    return voting;
  }

  /** What a gateway keeps that has put nothing into a sum yet. */
  static Map<String, byte[]> writtenEvents() throws Exception {
    MapKeep keep = new MapKeep(Map.of());
    Store store = new Store(keep);
    store.incarnation(ONE);
    events().forEach(entry -> store.entry(entry, null));
    cuts().forEach(store::cut);
    store.voting(voting().bytes(), null);
    assertEquals(0, store.failures());
    return keep.values;
  }

  /** What it keeps once the first step is in a sum; then, the second. */
  static Map<String, byte[]> writtenSums(int steps) throws Exception {
    MapKeep keep = new MapKeep(writtenEvents());
    Store store = new Store(keep);
    Journal journal = new Journal(VOTERS);
    store.load(journal);
    for (int step = 1; step <= steps; step++) {
      List<Entry> gone = journal.compact(step);
      store.sum(journal.sum().bytes(), step, step - 1, gone, step);
    }
    return keep.values;
  }

  static Map<String, byte[]> writtenSummed() throws Exception {
    Map<String, byte[]> all = new LinkedHashMap<>();
    writtenSums(1).forEach((name, value) -> all.put("1:" + name, value));
    writtenSums(2).forEach((name, value) -> all.put("2:" + name, value));
    return all;
  }

  private static Map<String, byte[]> read(String resource) throws IOException {
    Map<String, byte[]> values = new LinkedHashMap<>();
    try (InputStream in =
        ChannelJournalFormatGuardTest.class.getResourceAsStream("/guards/" + resource)) {
      new String(in.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .forEach(
              line -> {
                int space = line.indexOf(' ');
                values.put(
                    line.substring(0, space), HexFormat.of().parseHex(line.substring(space + 1)));
              });
    }
    return values;
  }

  private static MapKeep summed(int steps) throws IOException {
    Map<String, byte[]> values = new TreeMap<>();
    read(SUMMED)
        .forEach(
            (name, value) -> {
              if (name.startsWith(steps + ":")) {
                values.put(name.substring(2), value);
              }
            });
    return new MapKeep(values);
  }

  /** The values as lines of a name, a space and hex digits. */
  static String text(Map<String, byte[]> values) {
    return values.entrySet().stream()
        .map(each -> each.getKey() + " " + HexFormat.of().formatHex(each.getValue()) + "\n")
        .collect(Collectors.joining());
  }

  private static Journal loaded(MapKeep keep) {
    Journal journal = new Journal(VOTERS);
    Store store = new Store(keep);
    store.load(journal);
    assertEquals(0, store.unreadable());
    return journal;
  }

  @Test
  void aGatewaysValuesAreWrittenAsBefore() throws Exception {
    assertEquals(text(read(EVENTS)), text(writtenEvents()));
    assertEquals(text(read(SUMMED)), text(writtenSummed()));
  }

  @Test
  void everyEventAndStepIsFound() throws Exception {
    Map<String, byte[]> kept = read(EVENTS);
    for (Entry entry : events()) {
      String name = String.format("e/%016x/%016x", entry.incarnation(), entry.sequence());
      assertEquals(entry, EntryCodec.entry(kept.get(name)));
    }
    for (Cut cut : cuts()) {
      String name = String.format("k/%016x", cut.slot());
      assertEquals(cut, EntryCodec.cut(new FieldReader(kept.get(name))));
    }
    Store store = new Store(new MapKeep(kept));
    assertEquals(ONE, store.foundIncarnation());
    assertEquals(
        List.of(Kind.values()), events().stream().map(Entry::kind).distinct().sorted().toList());
  }

  @Test
  void thePromisesAreFound() throws Exception {
    byte[] kept = new Store(new MapKeep(read(EVENTS))).foundVoting();
    AcceptorState voting = new AcceptorState(kept);
    assertTrue(voting.knows());
    assertEquals(new Ballot(301, "s1"), voting.promised());
    assertEquals(new Ballot(300, "n1"), voting.acceptedIn());
    assertEquals(cuts().get(1), voting.accepted());
    assertEquals(Map.of("n2", 0x33L, "s1", OTHER), voting.lives());
    assertArrayEquals(kept, voting.bytes());
  }

  @Test
  void theJournalIsFoundWithItsOrder() throws Exception {
    Journal journal = loaded(new MapKeep(read(EVENTS)));
    assertEquals(2, journal.applied());
    assertEquals(stamp(5), journal.upTo());
    assertEquals(List.of("n1", "s1"), journal.voters());
    assertEquals(List.of(events().get(7)), List.copyOf(journal.tail()));
    assertEquals(-4161652483311600656L, journal.digest());
    ChannelLog tv = journal.logs().get("tv");
    List<String> order = new ArrayList<>();
    for (long i = tv.first(); i < tv.stableCount(); i++) {
      OrderedEvent placed = tv.stable(i);
      order.add(
          placed.entry().gateway()
              + "-"
              + placed.entry().sequence()
              + "@"
              + placed.slot()
              + (placed.late() ? " late" : "")
              + (placed.repeat() ? " repeat" : ""));
    }
    assertEquals(
        List.of("n1-1@1", "s1-1@1", "n1-2@1", "n1-3@1", "s1-3@2 late repeat", "s1-2@2"), order);
    assertEquals(1, journal.logs().get("radio").stableCount());
  }

  @Test
  void theSumsAreFound() throws Exception {
    Journal whole = loaded(new MapKeep(read(EVENTS)));
    for (int steps = 1; steps <= 2; steps++) {
      MapKeep keep = summed(steps);
      byte[] kept = keep.values.get(String.format("s/%016x/%016x", steps, 0));
      CompactedState sum = CompactedState.read(kept);
      assertArrayEquals(kept, sum.bytes());
      assertEquals(steps, sum.slot());
      assertEquals(cuts().get(steps - 1).upTo(), sum.upTo());
      assertEquals(cuts().get(steps - 1).voters(), sum.voters());
      assertEquals(whole.digest(steps).longValue(), sum.digest());
      Journal journal = loaded(keep);
      assertEquals(steps, journal.base());
      assertEquals(2, journal.applied());
      assertEquals(whole.digest(), journal.digest());
      assertEquals(whole.upTo(), journal.upTo());
      assertEquals(whole.voters(), journal.voters());
      assertEquals(whole.logs().keySet(), journal.logs().keySet());
      assertArrayEquals(kept, journal.sum().bytes());
    }
  }

  @Test
  void theCuesAndKeysInTheSumAreFound() throws Exception {
    byte[] kept = summed(2).values.get(String.format("s/%016x/%016x", 2, 0));
    Map<String, CueProjection> books = CompactedState.read(kept).books();
    CueProjection tv = books.get("tv");
    assertEquals(List.of("radio", "tv"), List.copyOf(books.keySet()));
    assertEquals(6, tv.count());
    assertEquals(1, books.get("radio").count());
    assertEquals(events().get(0).dot(), tv.key("key-1"));
    assertEquals(events().get(1).dot(), tv.key("key-2"));
    assertEquals(events().get(5).dot(), tv.key("key-3"));
    assertEquals(
        List.of(
            "cue-1 [s1:beside:22-1-18bcfe5680100000, "
                + "n1:two:1234567890-2-18bcfe5680200000] false 1700000000500 [0]",
            "cue-2 [] true 0 [7]"),
        tv.cues().stream()
            .map(
                cue ->
                    cue.name()
                        + " "
                        + cue.versions().stream()
                            .map(
                                version ->
                                    version.gateway()
                                        + ":"
                                        + version.text()
                                        + ":"
                                        + version.dot().text())
                            .toList()
                        + " "
                        + cue.isRetracted()
                        + " "
                        + cue.airsAt()
                        + " "
                        + cue.flags().stream().map(Flag::ordinal).toList())
            .toList());
  }

  @Test
  void flagsThatAreKeptByNumberHaveTheirOrder() {
    assertEquals(
        List.of(
            Flag.CONCURRENT,
            Flag.RETRACTED_UNSEEN,
            Flag.CORRECTED_RETRACTED,
            Flag.AFTER_AIR,
            Flag.AIR_TWICE,
            Flag.AIR_PASSED,
            Flag.AIR_OF_RETRACTED,
            Flag.NO_CUE),
        List.of(Flag.values()));
  }
}
