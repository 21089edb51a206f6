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
 * Guards what a voter keeps: its identity, its ballot, its log and its snapshot, by name and by
 * value. What an earlier release kept must be found again, and written again as it was.
 */
class StatementsLogFormatGuardTest {
  private static final String LOG = "statements-log.hex";
  private static final String SNAPSHOT = "statements-snapshot.hex";
  private static final Voters VOTERS = new Voters(List.of("n1", "n2", "n3"), "n2");
  private static final List<Long> DISKS = List.of(0x11L, 0x2222222222L, -3L);
  private static final Snapshot EMPTY =
      new Snapshot(0, 0, 0, 0, 0, List.of(), Snapshots.write(new Catalog()));

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

  /** A log with every kind of command; applied, it leaves a statement in every state. */
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

  /** What a voter keeps that has founded, voted and taken all entries into its log. */
  static Map<String, byte[]> writtenLog() throws Exception {
    MapKeep keep = new MapKeep(Map.of());
    DurableState disk = new DurableState(keep, false);
    Log log = new Log(disk, EMPTY);
    entries().forEach(log::append);
    Identity identity = new Identity(VOTERS, disk, new Random(7));
    identity.setBoots(0, 300);
    identity.setStage(Stage.FOUNDED, DISKS);
    Ballot ballot = new Ballot(disk);
    ballot.startTerm(300);
    ballot.voteFor("n1");
    return keep.values;
  }

  /** What the same voter keeps once a snapshot of a later term took the place of its entries. */
  static Map<String, byte[]> writtenSnapshot() throws Exception {
    MapKeep keep = new MapKeep(writtenLog());
    Log log = new Log(new DurableState(keep, false), EMPTY);
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
    return keep.values;
  }

  private static Map<String, byte[]> read(String resource) throws IOException {
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

  /** The values as lines of a name, a space and hex digits. */
  static String text(Map<String, byte[]> values) {
    return values.entrySet().stream()
        .map(each -> each.getKey() + " " + HexFormat.of().formatHex(each.getValue()) + "\n")
        .collect(Collectors.joining());
  }

  @Test
  void aVotersValuesAreWrittenAsBefore() throws Exception {
    assertEquals(text(read(LOG)), text(writtenLog()));
    assertEquals(text(read(SNAPSHOT)), text(writtenSnapshot()));
  }

  @Test
  void everyEntryOfTheLogIsFound() throws Exception {
    Log log = new Log(new DurableState(new MapKeep(read(LOG)), false), EMPTY);
    assertEquals(0, log.base());
    assertEquals(entries(), log.entriesFrom(1, log.lastIndex(), 1 << 20));
    assertEquals(20, log.durableIndex());
    assertEquals(3, log.lastTerm());
    assertEquals(
        Stream.of(Command.class.getPermittedSubclasses()).collect(Collectors.toSet()),
        entries().stream().map(entry -> entry.command().getClass()).collect(Collectors.toSet()));
  }

  @Test
  void theIdentityIsFound() throws Exception {
    MapKeep keep = new MapKeep(read(LOG));
    Identity identity = new Identity(VOTERS, new DurableState(keep, false), new Random(8));
    assertEquals(new Random(7).nextLong() | 1, identity.disk());
    assertEquals(Stage.FOUNDED, identity.stage());
    assertEquals(DISKS, identity.pledge());
    assertEquals(300, identity.boots(0));
    assertEquals(2, identity.boots(), "one start more than was kept");
    assertEquals(0, identity.boots(2));
  }

  @Test
  void everyStageIsKeptAsItsNumber() throws Exception {
    List<String> kept = new ArrayList<>();
    for (Stage stage : Stage.values()) {
      MapKeep keep = new MapKeep(read(LOG));
      Identity identity = new Identity(VOTERS, new DurableState(keep, false), new Random(8));
      identity.setStage(stage, DISKS);
      byte[] bytes = keep.values.get("identity");
      // A tag and a fixed number of eight bytes, then the tag and the number of the stage;
      // the number 0 is left out, and the next field stands there.
      kept.add(bytes[9] + "," + bytes[10]);
      Identity again = new Identity(VOTERS, new DurableState(keep, false), new Random(8));
      assertEquals(stage, again.stage());
    }
    assertEquals(List.of("26,9", "16,1", "16,2", "16,3"), kept);
    assertEquals(
        List.of(Stage.FRESH, Stage.PLEDGED, Stage.FOUNDED, Stage.LOST), List.of(Stage.values()));
  }

  @Test
  void theBallotIsFound() throws Exception {
    Ballot ballot = new Ballot(new DurableState(new MapKeep(read(LOG)), false));
    assertEquals(300, ballot.term());
    assertTrue(ballot.mayVoteFor("n1"));
    assertTrue(!ballot.mayVoteFor("n2"));
  }

  @Test
  void theMembersAreFound() throws Exception {
    Log log = new Log(new DurableState(new MapKeep(read(LOG)), false), EMPTY);
    Membership membership = new Membership(VOTERS, log, DISKS);
    assertEquals(List.of(0x11L, 0x2222222222L, 0x3333333333L), membership.members());
    assertEquals(20, membership.version());
    assertEquals(DISKS, membership.membersAt(19));
    Log compacted = new Log(new DurableState(new MapKeep(read(SNAPSHOT)), false), EMPTY);
    assertEquals(membership.members(), new Membership(VOTERS, compacted, List.of()).members());
  }

  @Test
  void theSnapshotIsFound() throws Exception {
    Map<String, byte[]> kept = read(SNAPSHOT);
    Log log = new Log(new DurableState(new MapKeep(kept), false), EMPTY);
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
    assertArrayEquals(kept.get("snapshot"), snapshot.write());
    assertArrayEquals(kept.get("snapshot"), log.snapshotBytes());
  }

  @Test
  void theCatalogInTheSnapshotIsFound() throws Exception {
    byte[] state = Snapshot.read(read(SNAPSHOT).get("snapshot")).state();
    Catalog found = Snapshots.read(state);
    Catalog expected = catalog();
    assertEquals(20, found.applied());
    assertEquals(expected.statements(), found.statements());
    assertEquals(expected.versions(), found.versions());
    assertEquals(expected.waiting(), found.waiting());
    assertEquals(expected.waitingAnew(), found.waitingAnew());
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
        found.statements().entrySet().stream()
            .collect(Collectors.toMap(Map.Entry::getKey, each -> each.getValue().state())));
    entries().stream()
        .filter(entry -> entry.origin() != 0)
        .forEach(
            entry ->
                assertEquals(
                    expected.answer(entry.origin(), entry.number()),
                    found.answer(entry.origin(), entry.number())));
    assertEquals(Outcome.done(3), found.answer(0x7700000004L, 44).orElse(null));
    assertArrayEquals(state, Snapshots.write(found));
  }

  @Test
  void enumsThatAreKeptByNumberHaveTheirOrder() {
    assertEquals(List.of(State.READY, State.ANEW, State.INVALID), List.of(State.values()));
    assertEquals(
        List.of(Outcome.Verdict.DONE, Outcome.Verdict.REFUSED, Outcome.Verdict.UNKNOWN),
        List.of(Outcome.Verdict.values()));
  }

  @Test
  void gatewaysWithTheSameVotersHaveTheSameSumOfThem() {
    assertEquals(-1443132049036506185L, VOTERS.hash());
    assertEquals(VOTERS.hash(), new Voters(List.of("n3", "n1", "n2"), "n9").hash());
  }
}
