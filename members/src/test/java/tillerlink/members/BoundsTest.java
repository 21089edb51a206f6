package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.members.local.LocalMember;
import tillerlink.members.state.MemberTable;
import tillerlink.members.state.MergeOutcome;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/** Tests the limits of members, and which messages and gossip updates they reject or forget. */
class BoundsTest {
  private static final long MAX_UPDATE_AGE = 20 * MemberFleet.SECOND;
  private static final long FORGET_AFTER = 40 * MemberFleet.SECOND;

  private final List<String> logLines = new ArrayList<>();
  private final List<byte[]> sent = new ArrayList<>();

  private Members members(MembershipConfig config) {
    return new Members(
        new Identity("f", "own", "s", "h:1", List.of("h:2"), 0),
        config,
        (address, body) -> sent.add(body),
        new SplittableRandom(1),
        new MembershipListener() {
          @Override
          public void onReachabilityChanged(
              String name, Reachability previous, Reachability current) {
            // The tests check the member table instead.
          }

          @Override
          public void log(String line) {
            logLines.add(line);
          }
        },
        1);
  }

  private static GossipUpdate update(String name, MemberStatus status, long incarnation, long age) {
    return new GossipUpdate(
        name, status, new MemberInfo(incarnation, 7, "h:" + name, "s"), "x", age);
  }

  private static byte[] gossip(GossipUpdate... updates) {
    return MemberCodec.write(
        new MemberMessage.Gossip(
            new MemberInfo(1, 9, "h:9", "s"), SuspicionLevel.NONE, List.of(updates)));
  }

  @Test
  void oldGossipDoesNotReviveAFailedMember() {
    MemberTable table =
        new MemberTable(
            "own",
            MembershipConfig.usual().withRetention(MAX_UPDATE_AGE, FORGET_AFTER),
            (member, previous, previousCard) -> {});
    assertEquals(
        MergeOutcome.CHANGED, table.merge(update("b", MemberStatus.ALIVE, 1, 0), 0, false));
    table.suspect(table.get("b"), "own", 10, 10);
    assertEquals("b", table.expire(40 * MemberFleet.SECOND).name());
    long failedAt = 40 * MemberFleet.SECOND;
    assertEquals(
        MergeOutcome.OUTDATED,
        table.merge(update("b", MemberStatus.ALIVE, 1, 0), failedAt + 5, false));
    assertEquals(
        MergeOutcome.NEEDS_PROBE,
        table.merge(update("b", MemberStatus.ALIVE, 2, MAX_UPDATE_AGE + 1), failedAt + 5, false));
    table.forget(failedAt + FORGET_AFTER);
    assertEquals(Reachability.GONE, table.get("b").reachability());
    table.forget(failedAt + FORGET_AFTER + 1);
    assertNull(table.get("b"));
    // The member was alive before it was declared failed, so gossip from that time is older than
    // the maximum age of an accepted update.
    assertEquals(
        MergeOutcome.NEEDS_PROBE,
        table.merge(
            update("b", MemberStatus.ALIVE, 1, FORGET_AFTER), failedAt + FORGET_AFTER + 1, false));
    assertEquals(
        MergeOutcome.KNOWN,
        table.merge(
            update("b", MemberStatus.GONE, 1, FORGET_AFTER), failedAt + FORGET_AFTER + 1, false));
    assertNull(table.get("b"));
  }

  @Test
  void gossipDelayedByAPauseDoesNotChangeTheStatus() {
    MemberTable table =
        new MemberTable("own", MembershipConfig.usual(), (member, previous, previousCard) -> {});
    table.merge(update("b", MemberStatus.ALIVE, 1, 0), 0, false);
    assertEquals(
        MergeOutcome.NEEDS_PROBE, table.merge(update("b", MemberStatus.SUSPECTED, 1, 0), 5, true));
    assertEquals(
        MergeOutcome.NEEDS_PROBE, table.merge(update("b", MemberStatus.GONE, 1, 0), 5, false));
    assertEquals(Reachability.REACHABLE, table.get("b").reachability());
  }

  @Test
  void membersBeyondTheLimitAreRejected() {
    Members members = members(MembershipConfig.usual().withMaxMembers(5));
    members.tick(0, 0);
    for (int i = 0; i < 40; i++) {
      members.onMessage(1, 1, "x", gossip(update("m" + i, MemberStatus.ALIVE, 1, 0)));
      members.onMessage(1, 1, "x", gossip(update("g" + i, MemberStatus.GONE, 1, 0)));
    }
    assertEquals(6, members.size());
    assertEquals(35, members.counts().rejected());
    assertTrue(members.names().size() <= 10);
    assertEquals(
        List.of("members: table is full, rejected m5; the limit is 5 other active members"),
        logLines);
  }

  /** Feeds corrupted and truncated messages of every kind. */
  @Test
  void malformedMessagesAreCountedAndLoggedOnce() {
    Members members = members(MembershipConfig.usual());
    members.tick(0, 0);
    Random random = new Random(5);
    MemberInfo card = new MemberInfo(3, 4, "h:3", "s");
    List<GossipUpdate> updates = List.of(update("q", MemberStatus.SUSPECTED, 2, 5));
    List<byte[]> wellFormed = new ArrayList<>();
    for (MemberMessage message :
        List.of(
            new MemberMessage.Probe(card, 8, "own", SuspicionLevel.NONE, updates),
            new MemberMessage.Ack(card, 8, new SuspicionLevel(MemberStatus.GONE, 1, 2), updates),
            new MemberMessage.Ask(card, 8, "q", "h:q", SuspicionLevel.NONE, updates),
            new MemberMessage.Vouch(card, 8, true, updates),
            new MemberMessage.Gossip(card, SuspicionLevel.NONE, updates),
            new MemberMessage.Digest(card, 5, Collections.nCopies(MemberCodec.BUCKETS, 1)),
            new MemberMessage.Listing(card, 3, "a", "z", true, updates))) {
      wellFormed.add(MemberCodec.write(message));
      assertEquals(message, read(MemberCodec.write(message)));
    }
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = wellFormed.get(random.nextInt(wellFormed.size())).clone();
      if (random.nextBoolean()) {
        bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length));
      }
      for (int j = random.nextInt(4); j > 0 && bytes.length > 0; j--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      members.onMessage(1 + i, 1, "m" + i % 7, bytes);
      members.tick(1 + i, 1);
    }
    assertTrue(members.counts().malformed() > 5000, () -> "malformed: " + members.counts());
    assertTrue(
        logLines.stream().filter(line -> line.contains("malformed message")).count() <= 1,
        logLines::toString);
  }

  private static MemberMessage read(byte[] bytes) {
    try {
      return MemberCodec.read(bytes);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void probesWithoutGossipAreSmallAndEveryMessageFitsADatagram() {
    Members members = members(MembershipConfig.usual());
    members.tick(0, 0);
    for (int i = 0; i < 400; i++) {
      String name = "gateway-with-quite-a-long-name-" + i;
      members.onMessage(
          1,
          1,
          "x",
          gossip(
              new GossipUpdate(
                  name,
                  MemberStatus.ALIVE,
                  new MemberInfo(1, i, "host-" + i + ".site.example:7400", "a-site"),
                  "",
                  0)));
    }
    int probesWithoutGossip = 0;
    for (long now = 2;
        now < 20 * MemberFleet.SECOND;
        now = Math.max(now + 1, members.nextDueAt())) {
      members.tick(now, now);
    }
    for (byte[] body : sent) {
      assertTrue(body.length <= 1100, () -> "message length: " + body.length);
      boolean isProbeWithoutGossip =
          read(body) instanceof MemberMessage.Probe probe && probe.updates().isEmpty();
      assertFalse(
          isProbeWithoutGossip && body.length > 300,
          () -> "length of a probe without gossip: " + body.length);
      probesWithoutGossip += isProbeWithoutGossip ? 1 : 0;
    }
    assertTrue(probesWithoutGossip > 50, "probes without gossip: " + probesWithoutGossip);
  }

  @Test
  void bothProcessesWithOneNameDecideThatTheOlderYields() {
    LocalMember olderProcess = new LocalMember(4, 100, "h:1", "s");
    LocalMember newerProcess = new LocalMember(0, 200, "h:2", "s");
    assertEquals(
        LocalMember.Reaction.REFUTED_RIVAL,
        newerProcess.onClaim(MemberStatus.ALIVE, 5, 100, "h:1"));
    assertEquals(
        LocalMember.Reaction.REFUTED_RIVAL,
        olderProcess.onClaim(MemberStatus.ALIVE, 6, 200, "h:2"));
    assertEquals(LocalMember.Reaction.YIELDED, olderProcess.onRivalAlive(200));
    assertEquals(LocalMember.Reaction.REFUTED, newerProcess.onRivalAlive(100));
    // An earlier process at the same address is not a rival, whatever is claimed about it.
    LocalMember restarted = new LocalMember(0, 300, "h:3", "s");
    assertEquals(LocalMember.Reaction.REFUTED, restarted.onClaim(MemberStatus.ALIVE, 9, 50, "h:3"));
    assertEquals(10, restarted.card().incarnation());
  }
}
