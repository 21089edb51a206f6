package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.antientropy.AntiEntropy;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.members.local.LocalMember;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/**
 * Guards two formats that members of different releases must share beyond the bytes of their
 * messages: the checksums of the anti-entropy digest, and the incarnation that is persisted for the
 * next process.
 */
class MembersFormatGuardTest {
  /** Returns one member of every status, by name. */
  private static TreeMap<String, GossipUpdate> knownMembers() {
    TreeMap<String, GossipUpdate> updates = new TreeMap<>();
    for (GossipUpdate update :
        List.of(
            new GossipUpdate(
                "n1",
                MemberStatus.ALIVE,
                new MemberInfo(3, 0x1122334455667788L, "h1:1", "a"),
                "",
                5),
            new GossipUpdate(
                "n2", MemberStatus.SUSPECTED, new MemberInfo(300, -5, "h2:2", "b"), "n1", 6),
            new GossipUpdate(
                "größe", MemberStatus.GONE, new MemberInfo(1, 9, "h3:3", "c"), "n1", 7),
            new GossipUpdate("s1", MemberStatus.LEFT, new MemberInfo(2, 10, "h4:4", "d"), "", 8))) {
      updates.put(update.name(), update);
    }
    return updates;
  }

  /**
   * Returns the checksums with two salts, one line for each bucket: its number and the two
   * checksums.
   */
  static String formatDigests() {
    TreeMap<String, GossipUpdate> knownMembers = knownMembers();
    AntiEntropy antiEntropy =
        new AntiEntropy(
            new AntiEntropy.KnownMembers() {
              @Override
              public Iterable<String> names(int bucket) {
                return knownMembers.keySet().stream()
                    .filter(name -> MemberCodec.bucket(name) == bucket)
                    .toList();
              }

              @Override
              public GossipUpdate update(String name) {
                return knownMembers.get(name);
              }
            });
    List<Integer> firstSums = antiEntropy.sums(0);
    List<Integer> secondSums = antiEntropy.sums(0x0123456789abcdefL);
    StringBuilder text = new StringBuilder();
    for (int bucket = 0; bucket < MemberCodec.BUCKETS; bucket++) {
      text.append(
          String.format("%d %08x%08x%n", bucket, firstSums.get(bucket), secondSums.get(bucket))
              .replace("\r", ""));
    }
    return text.toString();
  }

  @Test
  void digestChecksumsAreUnchanged() throws IOException {
    try (InputStream in = getClass().getResourceAsStream("/guards/member-sums.hex")) {
      assertEquals(new String(in.readAllBytes(), StandardCharsets.UTF_8), formatDigests());
    }
  }

  @Test
  void processStartsOneAboveThePersistedIncarnation() {
    assertEquals(
        new MemberInfo(7, 9, "h1:1", "north"), new LocalMember(6, 9, "h1:1", "north").card());
    assertEquals(1, new LocalMember(0, 9, "h1:1", "north").card().incarnation());
    List<Long> reportedIncarnations = new ArrayList<>();
    Members members =
        new Members(
            new Identity("fleet", "n1", "north", "h1:1", List.of(), 6),
            MembershipConfig.usual(),
            (address, body) -> {},
            new SplittableRandom(1),
            new MembershipListener() {
              @Override
              public void onReachabilityChanged(
                  String name, Reachability previous, Reachability current) {
                // The fleet has no other members.
              }

              @Override
              public void onOwnIncarnationChanged(long incarnation) {
                reportedIncarnations.add(incarnation);
              }
            },
            1);
    members.tick(0, 0);
    assertEquals(List.of(7L), reportedIncarnations);
  }
}
