package tillerlink.messages.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.messages.FieldReader;
import tillerlink.messages.HexLines;

/** Guards the encoding of every command and of every kind of message about statements. */
class StatementMessageFormatGuardTest {
  private static final String COMMANDS = "statement-commands.hex";
  private static final String MESSAGES = "statement-messages.hex";

  static Map<String, Command> commands() {
    Map<String, Command> all = new LinkedHashMap<>();
    all.put("nothing", new Command.Nothing());
    for (RunEffect effect : RunEffect.values()) {
      all.put(
          "prepare-" + effect.ordinal(),
          new Command.Prepare(definition(effect), new TreeMap<>(Map.of(17, 1L, 18, 300L)), -1));
    }
    all.put("drop", new Command.Drop("by-city", 42));
    all.put(
        "announce",
        new Command.Announce(
            new Change(
                List.of(17, 18),
                List.of("17:orders.old"),
                List.of("17:orders.city", "18:größe"),
                new TreeMap<>(Map.of("17:orders.a", "17:orders.b")))));
    all.put("take-back", new Command.TakeBack(9));
    all.put("effect", new Command.Effect(10));
    all.put("anew", new Command.Anew("by-city", 42, definition(RunEffect.PURE)));
    all.put("anew-not", new Command.Anew("by-city", 42, null));
    all.put("readmit", new Command.Readmit("n2", 0x1122334455667788L));
    return all;
  }

  private static Definition definition(RunEffect effect) {
    return new Definition(
        "by-city",
        "select 1 from orders where city = $1",
        List.of(ParameterType.values()),
        List.of(17, 18),
        List.of("17:orders.city"),
        "evening",
        effect);
  }

  static Map<String, StatementMessage> messages() {
    Stamp stamp = new Stamp(0x1111, 0x2222222222L, 3, List.of(3L, 0L, -1L));
    List<Long> disks = List.of(0x11L, 0x22L, -3L);
    List<Entry> entries =
        List.of(
            new Entry(1, 1, 0, 0, new Command.Nothing()),
            new Entry(2, 1, 0x77, 5, new Command.Drop("by-city", -1)));
    Map<String, StatementMessage> all = new LinkedHashMap<>();
    for (StatementMessage.Stage stage : StatementMessage.Stage.values()) {
      all.put("hello-" + stage.ordinal(), new StatementMessage.Hello(stamp, 0x99, stage));
    }
    all.put(
        "seen",
        new StatementMessage.Seen(
            stamp,
            0x99,
            StatementMessage.Stage.PLEDGED,
            1,
            2,
            3,
            4,
            5,
            6,
            disks,
            List.of(0x44L),
            7));
    all.put("ask-vote", new StatementMessage.AskVote(stamp, 4, 3, 200, true));
    all.put("vote", new StatementMessage.Vote(stamp, 4, false, true));
    all.put("append", new StatementMessage.Append(stamp, 4, 8, 200, 3, 199, entries));
    all.put("appended", new StatementMessage.Appended(stamp, 4, 8, true, 202));
    all.put("offer", new StatementMessage.Offer(stamp, 4, 100, 5000));
    all.put("ask-piece", new StatementMessage.AskPiece(100, 16, 900));
    all.put("piece", new StatementMessage.Piece(100, 16, 5000, new byte[] {1, -2, 3}));
    all.put("fetch", new StatementMessage.Fetch(12));
    all.put("committed", new StatementMessage.Committed(1, entries, 2, 0, 0));
    all.put("committed-far", new StatementMessage.Committed(1, List.of(), 2, 100, 5000));
    commands()
        .forEach(
            (name, command) ->
                all.put(
                    "propose-" + name,
                    new StatementMessage.Propose(0x77, 6, command, name.startsWith("d"))));
    all.put(
        "ask-lease", new StatementMessage.AskLease(0x55, 3, new TreeMap<>(Map.of(17, 1L, 18, 2L))));
    all.put(
        "lease",
        new StatementMessage.Lease(
            0x55, 3, 0x22, 7, disks, new TreeMap<>(Map.of(17, 1L)), List.of(18), 202));
    all.put("release", new StatementMessage.Release(0x55, 4, List.of(17, 18)));
    all.put("clear", new StatementMessage.Clear(stamp, List.of(9L, 10L)));
    all.put("busy", new StatementMessage.Busy(0x77, 6, "später"));
    return all;
  }

  static Map<String, byte[]> encodedCommands() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    commands().forEach((name, command) -> all.put(name, CommandCodec.command(command).done()));
    commands()
        .forEach(
            (name, command) ->
                all.put(
                    "entry-" + name,
                    CommandCodec.entry(new Entry(300, 2, 0x77, 6, command)).done()));
    return all;
  }

  static Map<String, byte[]> encodedMessages() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    messages().forEach((name, message) -> all.put(name, StatementCodec.write(message)));
    return all;
  }

  @Test
  void everyCommandIsEncodedAsBefore() throws Exception {
    HexLines.assertSameLines(HexLines.read(COMMANDS), encodedCommands());
  }

  @Test
  void everyCommandIsDecodedAsBefore() throws Exception {
    Map<String, byte[]> storedValues = HexLines.read(COMMANDS);
    for (Map.Entry<String, Command> expected : commands().entrySet()) {
      assertEquals(
          expected.getValue(),
          CommandCodec.command(new FieldReader(storedValues.get(expected.getKey()))));
      assertEquals(
          new Entry(300, 2, 0x77, 6, expected.getValue()),
          CommandCodec.entry(new FieldReader(storedValues.get("entry-" + expected.getKey()))));
    }
  }

  @Test
  void everyMessageKindIsEncodedAsBefore() throws Exception {
    HexLines.assertSameLines(HexLines.read(MESSAGES), encodedMessages());
  }

  @Test
  void everyMessageKindIsDecodedAsBefore() throws Exception {
    Map<String, byte[]> storedValues = HexLines.read(MESSAGES);
    assertEquals(messages().keySet(), storedValues.keySet());
    for (Map.Entry<String, StatementMessage> expected : messages().entrySet()) {
      HexLines.assertSameComponents(
          (Record) expected.getValue(),
          (Record) StatementCodec.read(storedValues.get(expected.getKey())));
    }
  }

  @Test
  void guardCoversEveryCommandAndMessageKind() {
    assertEquals(
        recordSubtypes(Command.class),
        commands().values().stream().map(Object::getClass).collect(Collectors.toSet()));
    assertEquals(
        recordSubtypes(StatementMessage.class),
        messages().values().stream().map(Object::getClass).collect(Collectors.toSet()));
  }

  private static Object recordSubtypes(Class<?> sealed) {
    return Stream.of(sealed.getPermittedSubclasses())
        .filter(Class::isRecord)
        .collect(Collectors.toSet());
  }

  @Test
  void encodedEnumsKeepTheirOrder() {
    assertEquals(
        List.of(RunEffect.PURE, RunEffect.RECEIPTED, RunEffect.EFFECTFUL),
        List.of(RunEffect.values()));
    assertEquals(
        List.of(
            ParameterType.TEXT,
            ParameterType.INTEGER,
            ParameterType.DECIMAL,
            ParameterType.FLAG,
            ParameterType.DAY),
        List.of(ParameterType.values()));
    assertEquals(
        List.of(
            StatementMessage.Stage.FRESH,
            StatementMessage.Stage.PLEDGED,
            StatementMessage.Stage.FOUNDED,
            StatementMessage.Stage.LOST),
        List.of(StatementMessage.Stage.values()));
  }
}
