package tillerlink.statements.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.Entry;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;
import tillerlink.messages.statements.StatementMessage.Stage;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.catalog.Snapshots;
import tillerlink.statements.catalog.State;

/**
 * Guards the format of a voter's durable state: the keys and the values of its identity, its
 * ballot, its log and its snapshot. State that was stored by an earlier release must be readable,
 * and the same state must be written with the same bytes.
 */
class StatementsLogFormatGuardTest {
  private static final String LOG = "statements-log.hex";
  private static final String SNAPSHOT = "statements-snapshot.hex";
  private static final Voters VOTERS = new Voters(List.of("n1", "n2", "n3"), "n2");
  private static final List<Long> DISKS = List.of(0x11L, 0x2222222222L, -3L);
  private static final Snapshot EMPTY =
      new Snapshot(0, 0, 0, 0, 0, List.of(), Snapshots.write(new Catalog()));

  /** A store in memory in which every write is durable at once. */
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
    public boolean set(String name, byte[] value, Runnable onPersisted) {
      if (value == null) {
        values.remove(name);
      } else {
        values.put(name, value);
      }
      if (onPersisted != null) {
        onPersisted.run();
      }
      return true;
    }
  }

  private static Definition definition(String name, RunEffect effect) {
    return new Definition(
        name,
        "select 1 from orders where city = $1 -- größe",
        List.of(ParameterType.values()),
        List.of(17, 18),
        List.of("17:orders.city", "18:parts.size"),
        "evening",
        effect);
  }

  private static Command prepare(String name, RunEffect effect) {
    return new Command.Prepare(definition(name, effect), new TreeMap<>(Map.of(17, 1L, 18, 1L)), -1);
  }

  private static Change change(int group, String removed, String altered) {
    return new Change(
        List.of(group),
        removed.isEmpty() ? List.of() : List.of(removed),
        altered.isEmpty() ? List.of() : List.of(altered),
        new TreeMap<>(Map.of(group + ":orders.old", group + ":orders.new")));
  }

  /**
   * Returns a log with every kind of command. Applied to a catalog, it leaves statements in every
   * state.
   */
  private static List<Entry> entries() {
    List<Command> commands =
        List.of(
            new Command.Nothing(),
            prepare("ready", RunEffect.PURE),
            prepare("gone", RunEffect.RECEIPTED),
            prepare("again", RunEffect.EFFECTFUL),
            new Command.Drop("gone", 3),
            new Command.Drop("nobody", -1),
            new Command.Announce(change(17, "", "17:orders.city")),
            new Command.Announce(change(18, "", "")),
            new Command.TakeBack(8),
            new Command.Effect(7),
            new Command.Anew("again", 4, definition("again", RunEffect.EFFECTFUL)),
            new Command.Announce(change(18, "18:parts.size", "")),
            new Command.Anew("ready", 2, null),
            new Command.Effect(12),
            new Command.Prepare(
                new Definition(
                    "fresh",
                    "select 2",
                    List.of(),
                    List.of(19),
                    List.of("19:a.b"),
                    "day",
                    RunEffect.PURE),
                new TreeMap<>(Map.of(19, 1L)),
                0),
            new Command.Prepare(
                new Definition(
                    "late",
                    "select 3",
                    List.of(),
                    List.of(20),
                    List.of("20:a.b"),
                    "day",
                    RunEffect.PURE),
                new TreeMap<>(Map.of(20, 1L)),
                0),
            new Command.Announce(change(20, "", "20:a.b")),
            new Command.Effect(17),
            new Command.Announce(change(19, "19:c.d", "19:a.b")),
            new Command.Readmit("n3", 0x3333333333L));
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < commands.size(); i++) {
      long origin = i % 5 == 0 ? 0 : 0x7700000000L + i;
      entries.add(new Entry(i + 1, 1 + i / 7, origin, origin == 0 ? 0 : 40 + i, commands.get(i)));
    }
    return entries;
  }

  private static Catalog catalog() {
    Catalog catalog = new Catalog();
    entries().forEach(catalog::apply);
    return catalog;
  }

  /** Returns the stored state of a founded voter that has voted and has all entries in its log. */
  static Map<String, byte[]> writtenLog() throws Exception {
    InMemoryStore store = new InMemoryStore(Map.of());
    DurableState durable = new DurableState(store, false);
    Log log = new Log(durable, EMPTY);
    entries().forEach(log::append);
    Identity identity = new Identity(VOTERS, durable, new Random(7));
    identity.setBoots(0, 300);
    identity.setStage(Stage.FOUNDED, DISKS);
    Ballot ballot = new Ballot(durable);
    ballot.startTerm(300);
    ballot.voteFor("n1");
    return store.values;
  }

  /**
   * Returns the stored state of the same voter after a snapshot of a later term has replaced its
   * entries.
   */
  static Map<String, byte[]> writtenSnapshot() throws Exception {
    InMemoryStore store = new InMemoryStore(writtenLog());
    Log log = new Log(new DurableState(store, false), EMPTY);
    log.install(
        new Snapshot(
            20,
            4,
            20,
            4,
            20,
            List.of(0x11L, 0x2222222222L, 0x3333333333L),
            Snapshots.write(catalog())));
    log.append(new Entry(21, 6, 0, 0, new Command.Nothing()));
    return store.values;
  }

  private static Map<String, byte[]> readResource(String resource) throws IOException {
    Map<String, byte[]> values = new TreeMap<>();
    try (InputStream in =
        StatementsLogFormatGuardTest.class.getResourceAsStream("/guards/" + resource)) {
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

  /** Formats stored values as lines of a key, a space and the value in hexadecimal digits. */
  static String toLines(Map<String, byte[]> values) {
    return values.entrySet().stream()
        .map(each -> each.getKey() + " " + HexFormat.of().formatHex(each.getValue()) + "\n")
        .collect(Collectors.joining());
  }

  @Test
  void stateIsWrittenInTheStoredFormat() throws Exception {
    assertEquals(toLines(readResource(LOG)), toLines(writtenLog()));
    assertEquals(toLines(readResource(SNAPSHOT)), toLines(writtenSnapshot()));
  }

  @Test
  void everyStoredEntryIsRead() throws Exception {
    Log log = new Log(new DurableState(new InMemoryStore(readResource(LOG)), false), EMPTY);
    assertEquals(0, log.base());
    assertEquals(entries(), log.entriesFrom(1, log.lastIndex(), 1 << 20));
    assertEquals(20, log.durableIndex());
    assertEquals(3, log.lastTerm());
    assertEquals(
        Stream.of(Command.class.getPermittedSubclasses()).collect(Collectors.toSet()),
        entries().stream().map(entry -> entry.command().getClass()).collect(Collectors.toSet()));
  }

  @Test
  void storedIdentityIsRead() throws Exception {
    InMemoryStore store = new InMemoryStore(readResource(LOG));
    Identity identity = new Identity(VOTERS, new DurableState(store, false), new Random(8));
    assertEquals(new Random(7).nextLong() | 1, identity.disk());
    assertEquals(Stage.FOUNDED, identity.stage());
    assertEquals(DISKS, identity.pledge());
    assertEquals(300, identity.boots(0));
    assertEquals(2, identity.boots(), "one more than the stored number of starts");
    assertEquals(0, identity.boots(2));
  }

  @Test
  void everyStageIsStoredAsItsNumber() throws Exception {
    List<String> storedBytes = new ArrayList<>();
    for (Stage stage : Stage.values()) {
      InMemoryStore store = new InMemoryStore(readResource(LOG));
      Identity identity = new Identity(VOTERS, new DurableState(store, false), new Random(8));
      identity.setStage(stage, DISKS);
      byte[] identityBytes = store.values.get("identity");
      // The encoding starts with the disk, a tag and eight bytes, followed by the tag and the
      // number of the stage. The number 0 is not written, so the next field follows the disk.
      storedBytes.add(identityBytes[9] + "," + identityBytes[10]);
      Identity reread = new Identity(VOTERS, new DurableState(store, false), new Random(8));
      assertEquals(stage, reread.stage());
    }
    assertEquals(List.of("26,9", "16,1", "16,2", "16,3"), storedBytes);
    assertEquals(
        List.of(Stage.FRESH, Stage.PLEDGED, Stage.FOUNDED, Stage.LOST), List.of(Stage.values()));
  }

  @Test
  void storedBallotIsRead() throws Exception {
    Ballot ballot = new Ballot(new DurableState(new InMemoryStore(readResource(LOG)), false));
    assertEquals(300, ballot.term());
    assertTrue(ballot.mayVoteFor("n1"));
    assertTrue(!ballot.mayVoteFor("n2"));
  }

  @Test
  void membersAreReadFromStoredLogAndSnapshot() throws Exception {
    Log log = new Log(new DurableState(new InMemoryStore(readResource(LOG)), false), EMPTY);
    Membership membership = new Membership(VOTERS, log, DISKS);
    assertEquals(List.of(0x11L, 0x2222222222L, 0x3333333333L), membership.members());
    assertEquals(20, membership.version());
    assertEquals(DISKS, membership.membersAt(19));
    Log compacted =
        new Log(new DurableState(new InMemoryStore(readResource(SNAPSHOT)), false), EMPTY);
    assertEquals(membership.members(), new Membership(VOTERS, compacted, List.of()).members());
  }

  @Test
  void storedSnapshotIsRead() throws Exception {
    Map<String, byte[]> stored = readResource(SNAPSHOT);
    Log log = new Log(new DurableState(new InMemoryStore(stored), false), EMPTY);
    Snapshot snapshot = log.snapshot();
    assertEquals(
        List.of(20L, 4L, 20L, 4L, 20L),
        List.of(
            snapshot.index(),
            snapshot.term(),
            snapshot.base(),
            snapshot.baseTerm(),
            snapshot.version()));
    assertEquals(List.of(0x11L, 0x2222222222L, 0x3333333333L), snapshot.members());
    assertEquals(21, log.lastIndex());
    assertEquals(new Entry(21, 6, 0, 0, new Command.Nothing()), log.get(21));
    assertArrayEquals(stored.get("snapshot"), snapshot.write());
    assertArrayEquals(stored.get("snapshot"), log.snapshotBytes());
  }

  @Test
  void catalogIsReadFromStoredSnapshot() throws Exception {
    byte[] state = Snapshot.read(readResource(SNAPSHOT).get("snapshot")).state();
    Catalog restored = Snapshots.read(state);
    Catalog expected = catalog();
    assertEquals(20, restored.applied());
    assertEquals(expected.statements(), restored.statements());
    assertEquals(expected.versions(), restored.versions());
    assertEquals(expected.waiting(), restored.waiting());
    assertEquals(expected.waitingAnew(), restored.waitingAnew());
    assertEquals(
        Map.of(
            "ready",
            State.INVALID,
            "again",
            State.INVALID,
            "fresh",
            State.READY,
            "late",
            State.ANEW),
        restored.statements().entrySet().stream()
            .collect(Collectors.toMap(Map.Entry::getKey, each -> each.getValue().state())));
    entries().stream()
        .filter(entry -> entry.origin() != 0)
        .forEach(
            entry ->
                assertEquals(
                    expected.answer(entry.origin(), entry.number()),
                    restored.answer(entry.origin(), entry.number())));
    assertEquals(Outcome.done(3), restored.answer(0x7700000004L, 44).orElse(null));
    assertArrayEquals(state, Snapshots.write(restored));
  }

  @Test
  void constantsOfEnumsStoredByNumberKeepTheirOrder() {
    assertEquals(List.of(State.READY, State.ANEW, State.INVALID), List.of(State.values()));
    assertEquals(
        List.of(Outcome.Verdict.DONE, Outcome.Verdict.REFUSED, Outcome.Verdict.UNKNOWN),
        List.of(Outcome.Verdict.values()));
  }

  @Test
  void hashOfVotersDependsOnlyOnTheirNames() {
    assertEquals(-1443132049036506185L, VOTERS.hash());
    assertEquals(VOTERS.hash(), new Voters(List.of("n3", "n1", "n2"), "n9").hash());
  }
}
