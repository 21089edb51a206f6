package tillerlink.messages.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.messages.FieldReader;
import tillerlink.messages.HexLines;

/** Guards the encoding of events, of cuts and of every kind of message about channels. */
class ChannelsMessageFormatGuardTest {
  private static final String MESSAGES = "channels-messages.hex";
  private static final String ENTRIES = "channels-entries.hex";
  private static final Cut CUT =
      new Cut(
          5,
          0x5000000000001L,
          List.of(new Span(0x11, 1, 4), new Span(0x2222222222L, 300, 300)),
          List.of("n1", "n2"));

  static Map<String, Entry> entries() {
    Map<String, Entry> all = new LinkedHashMap<>();
    for (Kind kind : Kind.values()) {
      all.put(
          "entry-" + kind.ordinal(),
          new Entry(
              "n1",
              "north",
              0x1234567890L,
              1 + kind.ordinal(),
              0x18c000000000001L,
              "tv",
              kind,
              "cue-7",
              "Größe",
              1_700_000_000_000L,
              "key",
              List.of(new Dot(1, 2, 3)),
              List.of(new Dot(4, 5, 6), new Dot(7, 8, 9))));
    }
    all.put(
        "entry-bare",
        new Entry("n1", "", 1, 1, 1, "tv", Kind.NOTE, "", "", 0, "", List.of(), List.of()));
    return all;
  }

  static Map<String, ChannelsMessage> messages() {
    Ballot higherBallot = new Ballot(4, "n1");
    Ballot lowerBallot = new Ballot(3, "n2");
    List<Span> spans = List.of(new Span(0x11, 1, 4), new Span(0x12, 9, 9));
    List<ChannelsMessage.Life> incarnations =
        List.of(new ChannelsMessage.Life("n1", 0x11), new ChannelsMessage.Life("n2", 0x12));
    ChannelsMessage.Standing own = new ChannelsMessage.Standing("n1", 0x11, 0x700000, 12);
    ChannelsMessage.Standing known = new ChannelsMessage.Standing("n2", 0x12, 0x800000, 2);
    Map<String, ChannelsMessage> all = new LinkedHashMap<>();
    all.put(
        "report",
        new ChannelsMessage.Report(1_700_000_000_000L, own, 3, 4, 2, -77, spans, List.of(known)));
    all.put("want", new ChannelsMessage.Want(8, 900, 64, spans));
    all.put("piece", new ChannelsMessage.Piece(8, true, List.copyOf(entries().values())));
    all.put("piece-more", new ChannelsMessage.Piece(0, false, List.of()));
    all.put("cuts-wanted", new ChannelsMessage.CutsWanted(6));
    all.put("cuts", new ChannelsMessage.Cuts(List.of(CUT)));
    all.put("sum-wanted", new ChannelsMessage.SumWanted(6, 4096));
    all.put("sum-part", new ChannelsMessage.SumPart(6, 4096, 9000, new byte[] {1, -2, 3}));
    all.put("ask", new ChannelsMessage.Ask(0x11));
    all.put("answer", new ChannelsMessage.Answer(0x11, true, 4, higherBallot, lowerBallot, CUT));
    all.put(
        "answer-bare", new ChannelsMessage.Answer(0x11, false, 0, Ballot.NONE, Ballot.NONE, null));
    all.put("prepare", new ChannelsMessage.Prepare(higherBallot, 5));
    all.put(
        "promise",
        new ChannelsMessage.Promise(
            higherBallot, 5, higherBallot, lowerBallot, CUT, 0x12, incarnations));
    all.put("accept", new ChannelsMessage.Accept(higherBallot, CUT));
    all.put(
        "accepted",
        new ChannelsMessage.Accepted(higherBallot, 5, higherBallot, 0x12, incarnations));
    return all;
  }

  static Map<String, byte[]> encodedEntries() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    entries().forEach((name, entry) -> all.put(name, EntryCodec.bytes(entry)));
    all.put("cut", EntryCodec.cut(CUT).done());
    return all;
  }

  static Map<String, byte[]> encodedMessages() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    messages().forEach((name, message) -> all.put(name, ChannelsCodec.bytes(message)));
    return all;
  }

  @Test
  void eventsAndCutsAreEncodedAsBefore() throws Exception {
    HexLines.assertSameLines(HexLines.read(ENTRIES), encodedEntries());
  }

  @Test
  void eventsAndCutsAreDecodedAsBefore() throws Exception {
    Map<String, byte[]> storedValues = HexLines.read(ENTRIES);
    for (Map.Entry<String, Entry> expected : entries().entrySet()) {
      assertEquals(expected.getValue(), EntryCodec.entry(storedValues.get(expected.getKey())));
    }
    assertEquals(CUT, EntryCodec.cut(new FieldReader(storedValues.get("cut"))));
  }

  @Test
  void everyMessageKindIsEncodedAsBefore() throws Exception {
    HexLines.assertSameLines(HexLines.read(MESSAGES), encodedMessages());
  }

  @Test
  void everyMessageKindIsDecodedAsBefore() throws Exception {
    Map<String, byte[]> storedValues = HexLines.read(MESSAGES);
    assertEquals(messages().keySet(), storedValues.keySet());
    for (Map.Entry<String, ChannelsMessage> expected : messages().entrySet()) {
      HexLines.assertSameComponents(
          (Record) expected.getValue(),
          (Record) ChannelsCodec.message(storedValues.get(expected.getKey())));
    }
  }

  @Test
  void guardCoversEveryMessageKind() {
    assertEquals(
        Stream.of(ChannelsMessage.class.getPermittedSubclasses()).collect(Collectors.toSet()),
        messages().values().stream().map(Object::getClass).collect(Collectors.toSet()));
  }

  @Test
  void eventIdentifiersAreFormattedAndParsedAsBefore() {
    Dot dot = new Dot(0x1234567890L, 17, 0x18c000000000001L);
    assertEquals("1234567890-17-18c000000000001", dot.text());
    assertEquals(dot, Dot.parse("1234567890-17-18c000000000001").orElseThrow());
  }

  @Test
  void eventKindsKeepTheirOrder() {
    assertEquals(
        List.of(Kind.CUE, Kind.CORRECTION, Kind.RETRACTION, Kind.AIR, Kind.NOTE),
        List.of(Kind.values()));
  }
}
