package tillerlink.messages.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.messages.HexLines;

/** Guards the encoding of every kind of message between members. */
class MemberMessageFormatGuardTest {
  private static final String RESOURCE = "member-messages.hex";
  private static final MemberInfo CARD = new MemberInfo(3, 0x1122334455667788L, "h1:7001", "north");

  static Map<String, MemberMessage> messages() {
    MemberInfo other = new MemberInfo(300, -5, "h2:7002", "südwest");
    List<GossipUpdate> updates =
        List.of(
            new GossipUpdate("b", MemberStatus.ALIVE, other, "", 0),
            new GossipUpdate("c", MemberStatus.SUSPECTED, other, "d", 12_345),
            new GossipUpdate("e", MemberStatus.GONE, other, "f", 1),
            new GossipUpdate("g", MemberStatus.LEFT, other, "", MemberCodec.AGE_MOST));
    SuspicionLevel suspicion = new SuspicionLevel(MemberStatus.SUSPECTED, 7, 0x0102030405060708L);
    Map<String, MemberMessage> all = new LinkedHashMap<>();
    all.put("probe", new MemberMessage.Probe(CARD, 0x0a0b0c0dL, "b", suspicion, updates));
    all.put("probe-bare", new MemberMessage.Probe(CARD, 1, "", SuspicionLevel.NONE, List.of()));
    all.put("ack", new MemberMessage.Ack(CARD, -1, suspicion, updates));
    all.put("ask", new MemberMessage.Ask(CARD, 9, "b", "h2:7002", suspicion, updates));
    all.put("vouch", new MemberMessage.Vouch(CARD, 9, true, updates));
    all.put("vouch-not", new MemberMessage.Vouch(CARD, 9, false, List.of()));
    all.put("gossip", new MemberMessage.Gossip(CARD, suspicion, updates));
    all.put(
        "digest",
        new MemberMessage.Digest(
            CARD,
            0x77L,
            IntStream.range(0, MemberCodec.BUCKETS).mapToObj(i -> i * 0x01010101 - 9).toList()));
    all.put("listing", new MemberMessage.Listing(CARD, 31, "a", "m", true, updates));
    for (MemberStatus status : MemberStatus.values()) {
      all.put(
          "doubt-" + status.ordinal(),
          new MemberMessage.Gossip(CARD, new SuspicionLevel(status, 2, 4), List.of()));
    }
    return all;
  }

  static Map<String, byte[]> encoded() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    messages().forEach((name, message) -> all.put(name, MemberCodec.write(message)));
    return all;
  }

  @Test
  void everyKindIsEncodedAsBefore() throws Exception {
    HexLines.assertSameLines(HexLines.read(RESOURCE), encoded());
  }

  @Test
  void everyKindIsDecodedAsBefore() throws Exception {
    Map<String, byte[]> storedMessages = HexLines.read(RESOURCE);
    assertEquals(messages().keySet(), storedMessages.keySet());
    for (Map.Entry<String, MemberMessage> expected : messages().entrySet()) {
      assertEquals(expected.getValue(), MemberCodec.read(storedMessages.get(expected.getKey())));
    }
  }

  @Test
  void guardCoversEveryKind() {
    assertEquals(
        Stream.of(MemberMessage.class.getPermittedSubclasses()).collect(Collectors.toSet()),
        messages().values().stream().map(Object::getClass).collect(Collectors.toSet()));
  }

  @Test
  void namesKeepTheirDigestBuckets() {
    assertEquals(
        List.of(30, 16), List.of(MemberCodec.bucket("a"), MemberCodec.bucket("gateway-1")));
  }

  @Test
  void memberStatusesKeepTheirOrder() {
    assertEquals(
        List.of(MemberStatus.ALIVE, MemberStatus.SUSPECTED, MemberStatus.GONE, MemberStatus.LEFT),
        List.of(MemberStatus.values()));
  }
}
