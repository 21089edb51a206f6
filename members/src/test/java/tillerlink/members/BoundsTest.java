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
import tillerlink.members.state.MemberTable.Outcome;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/** What is bounded, what is refused, what is forgotten. */
class BoundsTest {
  private static final long LIFE = 20 * Play.SECOND;
  private static final long FORGET = 40 * Play.SECOND;

  private final List<String> lines = new ArrayList<>();
  private final List<byte[]> sent = new ArrayList<>();

  private Members members(MembershipConfig periods) {
    return new Members(
        new Identity("f", "own", "s", "h:1", List.of("h:2"), 0),
        periods,
        (address, body) -> sent.add(body),
        new SplittableRandom(1),
        new MembershipListener() {
          @Override
          public void onReachabilityChanged(String name, Reachability was, Reachability is) {
            // counted elsewhere
          }

          @Override
          public void log(String words) {
            lines.add(words);
          }
        },
        1);
  }

  private static GossipUpdate update(
      String name, MemberStatus standing, long incarnation, long age) {
    return new GossipUpdate(
        name, standing, new MemberInfo(incarnation, 7, "h:" + name, "s"), "x", age);
  }

  private static byte[] gossip(GossipUpdate... updates) {
    return MemberCodec.write(
        new MemberMessage.Gossip(
            new MemberInfo(1, 9, "h:9", "s"), SuspicionLevel.NONE, List.of(updates)));
  }

  @Test
  void noOldUpdateBringsTheDeadBack() {
    MemberTable table =
        new MemberTable(
            "own",
            MembershipConfig.usual().withRetention(LIFE, FORGET),
            (entry, was, before) -> {});
    assertEquals(Outcome.NEWS, table.tell(update("b", MemberStatus.ALIVE, 1, 0), 0, false));
    table.suspect(table.get("b"), "own", 10, 10);
    assertEquals("b", table.expire(40 * Play.SECOND).name());
    long gone = 40 * Play.SECOND;
    assertEquals(
        Outcome.OUTDATED, table.tell(update("b", MemberStatus.ALIVE, 1, 0), gone + 5, false));
    assertEquals(
        Outcome.VERIFY, table.tell(update("b", MemberStatus.ALIVE, 2, LIFE + 1), gone + 5, false));
    table.forget(gone + FORGET);
    assertEquals(Reachability.GONE, table.get("b").reach());
    table.forget(gone + FORGET + 1);
    assertNull(table.get("b"));
    // It lived before it was given up: whatever is told of that is older than what is believed by
    // now.
    assertEquals(
        Outcome.VERIFY,
        table.tell(update("b", MemberStatus.ALIVE, 1, FORGET), gone + FORGET + 1, false));
    assertEquals(
        Outcome.KNOWN,
        table.tell(update("b", MemberStatus.GONE, 1, FORGET), gone + FORGET + 1, false));
    assertNull(table.get("b"));
  }

  @Test
  void whoWaitedIsNotAccusedByMessagesThatWaitedToo() {
    MemberTable table =
        new MemberTable("own", MembershipConfig.usual(), (entry, was, before) -> {});
    table.tell(update("b", MemberStatus.ALIVE, 1, 0), 0, false);
    assertEquals(Outcome.VERIFY, table.tell(update("b", MemberStatus.SUSPECTED, 1, 0), 5, true));
    assertEquals(Outcome.VERIFY, table.tell(update("b", MemberStatus.GONE, 1, 0), 5, false));
    assertEquals(Reachability.REACHABLE, table.get("b").reach());
  }

  @Test
  void moreThanTheMostAreRefused() {
    Members members = members(MembershipConfig.usual().withMaxMembers(5));
    members.tick(0, 0);
    for (int i = 0; i < 40; i++) {
      members.onMessage(1, 1, "x", gossip(update("m" + i, MemberStatus.ALIVE, 1, 0)));
      members.onMessage(1, 1, "x", gossip(update("g" + i, MemberStatus.GONE, 1, 0)));
    }
    assertEquals(6, members.size());
    assertEquals(35, members.counts().refused());
    assertTrue(members.names().size() <= 10);
    assertEquals(List.of("members: no room for m5, 5 others take part already"), lines);
  }

  /** Garbled and cut off ones, of every kind: a counter and one line. */
  @Test
  void whatCantBeReadCostsACounterAndALine() {
    Members members = members(MembershipConfig.usual());
    members.tick(0, 0);
    Random random = new Random(5);
    MemberInfo card = new MemberInfo(3, 4, "h:3", "s");
    List<GossipUpdate> news = List.of(update("q", MemberStatus.SUSPECTED, 2, 5));
    List<byte[]> good = new ArrayList<>();
    for (MemberMessage message :
        List.of(
            new MemberMessage.Probe(card, 8, "own", SuspicionLevel.NONE, news),
            new MemberMessage.Ack(card, 8, new SuspicionLevel(MemberStatus.GONE, 1, 2), news),
            new MemberMessage.Ask(card, 8, "q", "h:q", SuspicionLevel.NONE, news),
            new MemberMessage.Vouch(card, 8, true, news),
            new MemberMessage.Gossip(card, SuspicionLevel.NONE, news),
            new MemberMessage.Digest(card, 5, Collections.nCopies(MemberCodec.BUCKETS, 1)),
            new MemberMessage.Listing(card, 3, "a", "z", true, news))) {
      good.add(MemberCodec.write(message));
      assertEquals(message, read(MemberCodec.write(message)));
    }
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = good.get(random.nextInt(good.size())).clone();
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
        lines.stream().filter(line -> line.contains("can't be read")).count() <= 1,
        lines::toString);
  }

  private static MemberMessage read(byte[] bytes) {
    try {
      return MemberCodec.read(bytes);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void bareProbesAreSmallAndNoMessageIsLongerThanADatagram() {
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
    int bare = 0;
    for (long now = 2; now < 20 * Play.SECOND; now = Math.max(now + 1, members.nextDueAt())) {
      members.tick(now, now);
    }
    for (byte[] body : sent) {
      assertTrue(body.length <= 1100, () -> "a message of " + body.length);
      boolean isBare = read(body) instanceof MemberMessage.Probe probe && probe.updates().isEmpty();
      assertFalse(isBare && body.length > 300, () -> "a bare probe of " + body.length);
      bare += isBare ? 1 : 0;
    }
    assertTrue(bare > 50, "bare probes: " + bare);
  }

  @Test
  void oneOfTwoWithOneNameYieldsOnBothSides() {
    LocalMember older = new LocalMember(4, 100, "h:1", "s");
    LocalMember newer = new LocalMember(0, 200, "h:2", "s");
    assertEquals(
        LocalMember.Answer.RAISED_OVER_RIVAL, newer.told(MemberStatus.ALIVE, 5, 100, "h:1"));
    assertEquals(
        LocalMember.Answer.RAISED_OVER_RIVAL, older.told(MemberStatus.ALIVE, 6, 200, "h:2"));
    assertEquals(LocalMember.Answer.YIELD, older.lives(200));
    assertEquals(LocalMember.Answer.RAISED, newer.lives(100));
    // An earlier process at the own address is no rival, however it is told of.
    LocalMember restarted = new LocalMember(0, 300, "h:3", "s");
    assertEquals(LocalMember.Answer.RAISED, restarted.told(MemberStatus.ALIVE, 9, 50, "h:3"));
    assertEquals(10, restarted.card().incarnation());
  }
}
