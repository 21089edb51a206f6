package tillerlink.members.measure;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import tillerlink.members.Identity;
import tillerlink.members.Members;
import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/** Measures the heap that a full member table occupies. */
final class TableMemory {
  private static final int TABLE_SIZE = 1024;
  private static final int TABLES = 20;

  private TableMemory() {}

  private static Members withFullTable() {
    Members members =
        new Members(
            new Identity("f", "own", "site", "10.0.0.1:7400", List.of(), 0),
            MembershipConfig.usual(),
            (address, body) -> {},
            new SplittableRandom(1),
            (name, previous, current) -> {},
            1);
    members.tick(0, 0);
    for (int i = 0; i < TABLE_SIZE; i++) {
      String name = "gateway-at-some-site-" + i;
      MemberInfo card =
          new MemberInfo(3, i, "10.1." + i / 256 + "." + i % 256 + ":7400", "site-" + i % 12);
      GossipUpdate update = new GossipUpdate(name, MemberStatus.ALIVE, card, "", 100);
      members.onMessage(
          1,
          1,
          "another",
          MemberCodec.write(new MemberMessage.Gossip(card, SuspicionLevel.NONE, List.of(update))));
    }
    if (members.size() != TABLE_SIZE + 1) {
      throw new AssertionError("members: " + members.size());
    }
    return members;
  }

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  static void report(Consumer<String> out) {
    Members[] retained = new Members[TABLES];
    withFullTable();
    long before = usedHeap();
    for (int i = 0; i < TABLES; i++) {
      retained[i] = withFullTable();
    }
    long bytesEach = (usedHeap() - before) / TABLES;
    out.accept(
        "\nA table of "
            + TABLE_SIZE
            + " members, with an update of each still queued for gossip: "
            + bytesEach / 1024
            + " KiB, "
            + bytesEach / TABLE_SIZE
            + " bytes per member ("
            + retained.length
            + " tables measured)");
  }
}
