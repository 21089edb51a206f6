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
 * Guards the stored format of a gateway's channels, keys and values alike: events, decided cuts,
 * the acceptor's state, the incarnation and the compacted state. Data stored by an earlier release
 * must be readable, and encoding it again must give the same bytes; otherwise a gateway would lose
 * its channels on an upgrade.
 */
class ChannelJournalFormatGuardTest {
  private static final String NOT_COMPACTED = "channel-journal.hex";
  private static final String COMPACTED = "channel-journal-summed.hex";
  private static final List<String> VOTERS = List.of("n1", "n2", "s1");
  private static final long ONE = 0x1234567890L;
  private static final long OTHER = 0x22L;

  /** An in-memory key-value store, in which each change is durable at once. */
  private static final class InMemoryStore implements KeyValueStore {
    final NavigableMap<String, byte[]> values;

    InMemoryStore(Map<String, byte[]> values) {
      this.values = new TreeMap<>(values);
    }

    @Override
    public NavigableMap<String, byte[]> initialEntries() {
      return values;
    }

    @Override
    public boolean set(String key, byte[] value, Runnable onDurable) {
      if (value == null) {
        values.remove(key);
      } else {
        values.put(key, value);
      }
      if (onDurable != null) {
        onDurable.run();
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

  private static AcceptorState acceptorState() throws Exception {
    AcceptorState acceptor = new AcceptorState(null);
    acceptor.started("n2", 0x33);
    acceptor.started("s1", OTHER);
    acceptor.accept(new Ballot(300, "n1"), cuts().get(1));
    acceptor.promise(new Ballot(301, "s1"));
    return acceptor;
  }

  /** Returns the entries that a gateway stores before its first compaction. */
  static Map<String, byte[]> entriesBeforeCompaction() throws Exception {
    InMemoryStore storage = new InMemoryStore(Map.of());
    Store store = new Store(storage);
    store.incarnation(ONE);
    events().forEach(entry -> store.entry(entry, null));
    cuts().forEach(store::cut);
    store.voting(acceptorState().bytes(), null);
    assertEquals(0, store.failures());
    return storage.values;
  }

  /**
   * Returns the entries that a gateway stores after it compacted the first slots, one at a time.
   *
   * @param slots the number of compacted slots
   */
  static Map<String, byte[]> entriesAfterCompaction(int slots) throws Exception {
    InMemoryStore storage = new InMemoryStore(entriesBeforeCompaction());
    Store store = new Store(storage);
    Journal journal = new Journal(VOTERS);
    store.load(journal);
    for (int slot = 1; slot <= slots; slot++) {
      List<Entry> removed = journal.compact(slot);
      store.sum(journal.sum().bytes(), slot, slot - 1, removed, slot);
    }
    return storage.values;
  }

  static Map<String, byte[]> entriesAfterEachCompaction() throws Exception {
    Map<String, byte[]> all = new LinkedHashMap<>();
    entriesAfterCompaction(1).forEach((name, value) -> all.put("1:" + name, value));
    entriesAfterCompaction(2).forEach((name, value) -> all.put("2:" + name, value));
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

  private static InMemoryStore compactedStore(int slots) throws IOException {
    Map<String, byte[]> values = new TreeMap<>();
    read(COMPACTED)
        .forEach(
            (name, value) -> {
              if (name.startsWith(slots + ":")) {
                values.put(name.substring(2), value);
              }
            });
    return new InMemoryStore(values);
  }

  /** Formats entries as lines that consist of the key, a space and the value in hex digits. */
  static String text(Map<String, byte[]> values) {
    return values.entrySet().stream()
        .map(entry -> entry.getKey() + " " + HexFormat.of().formatHex(entry.getValue()) + "\n")
        .collect(Collectors.joining());
  }

  private static Journal loadJournal(InMemoryStore storage) {
    Journal journal = new Journal(VOTERS);
    Store store = new Store(storage);
    store.load(journal);
    assertEquals(0, store.unreadable());
    return journal;
  }

  @Test
  void entriesAreEncodedAsInTheStoredFormat() throws Exception {
    assertEquals(text(read(NOT_COMPACTED)), text(entriesBeforeCompaction()));
    assertEquals(text(read(COMPACTED)), text(entriesAfterEachCompaction()));
  }

  @Test
  void storedEventsAndCutsAreDecoded() throws Exception {
    Map<String, byte[]> stored = read(NOT_COMPACTED);
    for (Entry entry : events()) {
      String name = String.format("e/%016x/%016x", entry.incarnation(), entry.sequence());
      assertEquals(entry, EntryCodec.entry(stored.get(name)));
    }
    for (Cut cut : cuts()) {
      String name = String.format("k/%016x", cut.slot());
      assertEquals(cut, EntryCodec.cut(new FieldReader(stored.get(name))));
    }
    Store store = new Store(new InMemoryStore(stored));
    assertEquals(ONE, store.foundIncarnation());
    assertEquals(
        List.of(Kind.values()), events().stream().map(Entry::kind).distinct().sorted().toList());
  }

  @Test
  void theStoredAcceptorStateIsDecoded() throws Exception {
    byte[] stored = new Store(new InMemoryStore(read(NOT_COMPACTED))).foundVoting();
    AcceptorState acceptor = new AcceptorState(stored);
    assertTrue(acceptor.knows());
    assertEquals(new Ballot(301, "s1"), acceptor.promised());
    assertEquals(new Ballot(300, "n1"), acceptor.acceptedIn());
    assertEquals(cuts().get(1), acceptor.accepted());
    assertEquals(Map.of("n2", 0x33L, "s1", OTHER), acceptor.lives());
    assertArrayEquals(stored, acceptor.bytes());
  }

  @Test
  void theStoredJournalIsLoadedInItsOrder() throws Exception {
    Journal journal = loadJournal(new InMemoryStore(read(NOT_COMPACTED)));
    assertEquals(2, journal.applied());
    assertEquals(stamp(5), journal.upTo());
    assertEquals(List.of("n1", "s1"), journal.voters());
    assertEquals(List.of(events().get(7)), List.copyOf(journal.tail()));
    assertEquals(-4161652483311600656L, journal.digest());
    ChannelLog tv = journal.logs().get("tv");
    List<String> order = new ArrayList<>();
    for (long i = tv.first(); i < tv.stableCount(); i++) {
      OrderedEvent event = tv.stable(i);
      order.add(
          event.entry().gateway()
              + "-"
              + event.entry().sequence()
              + "@"
              + event.slot()
              + (event.late() ? " late" : "")
              + (event.repeat() ? " repeat" : ""));
    }
    assertEquals(
        List.of("n1-1@1", "s1-1@1", "n1-2@1", "n1-3@1", "s1-3@2 late repeat", "s1-2@2"), order);
    assertEquals(1, journal.logs().get("radio").stableCount());
  }

  @Test
  void storedCompactedStatesAreDecoded() throws Exception {
    Journal uncompacted = loadJournal(new InMemoryStore(read(NOT_COMPACTED)));
    for (int slots = 1; slots <= 2; slots++) {
      InMemoryStore storage = compactedStore(slots);
      byte[] stored = storage.values.get(String.format("s/%016x/%016x", slots, 0));
      CompactedState state = CompactedState.read(stored);
      assertArrayEquals(stored, state.bytes());
      assertEquals(slots, state.slot());
      assertEquals(cuts().get(slots - 1).upTo(), state.upTo());
      assertEquals(cuts().get(slots - 1).voters(), state.voters());
      assertEquals(uncompacted.digest(slots).longValue(), state.digest());
      Journal journal = loadJournal(storage);
      assertEquals(slots, journal.base());
      assertEquals(2, journal.applied());
      assertEquals(uncompacted.digest(), journal.digest());
      assertEquals(uncompacted.upTo(), journal.upTo());
      assertEquals(uncompacted.voters(), journal.voters());
      assertEquals(uncompacted.logs().keySet(), journal.logs().keySet());
      assertArrayEquals(stored, journal.sum().bytes());
    }
  }

  @Test
  void theCuesAndKeysInCompactedStateAreDecoded() throws Exception {
    byte[] stored = compactedStore(2).values.get(String.format("s/%016x/%016x", 2, 0));
    Map<String, CueProjection> projections = CompactedState.read(stored).projections();
    CueProjection tv = projections.get("tv");
    assertEquals(List.of("radio", "tv"), List.copyOf(projections.keySet()));
    assertEquals(6, tv.count());
    assertEquals(1, projections.get("radio").count());
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
  void flagsKeepTheOrderInWhichTheyAreNumbered() {
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
