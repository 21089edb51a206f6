package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.Kind;
import tillerlink.simulation.Fault;
import tillerlink.simulation.InMemoryKeyValueStore;

/**
 * Tests for compaction, recovery from compacted state, the storage quota, full and lost disks,
 * links that carry only small messages, and clocks that are too far ahead.
 */
class StorageQuotaTest {
  private static final List<String> GATEWAYS = List.of("n1", "s1", "w1");

  private static Fleet fleet(long bytes, int cuts) {
    return fleet(GATEWAYS, bytes, cuts);
  }

  private static Fleet fleet(List<String> names, long bytes, int cuts) {
    Fleet fleet =
        new Fleet(3, names, new ChannelLogConfig(GATEWAYS, 50_000, 60_000, bytes, cuts, 8));
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    return fleet;
  }

  private static AppendRequest note(String text) {
    return new AppendRequest(Kind.NOTE, "", text, 0, "", null);
  }

  private static void write(Fleet fleet, String name, int events) {
    for (int i = 0; i < events; i++) {
      fleet.append(name, "news", Fleet.cue("c" + i % 7, name + " " + i));
      fleet.net.playFor(5000);
      fleet.readAll();
    }
  }

  @Test
  void aGatewayFarBehindStartsFromCompactedStateAndRetainsItsOwnEvents() {
    Fleet fleet = fleet(64 << 20, 8);
    fleet.cut(List.of("w1"));
    write(fleet, "w1", 5);
    write(fleet, "n1", 60);
    assertTrue(
        fleet.running.get("n1").state().compacted() > 20,
        "the two other gateways have not compacted enough events");
    fleet.net.heal();
    fleet.net.playFor(20 * Fleet.SECOND);
    fleet.assertAuditPasses();
    Page page = fleet.running.get("w1").read("news", 0, Fleet.ALL);
    assertEquals(65, page.stable());
    assertEquals(
        5,
        page.lines().stream()
            .filter(line -> line.late() && line.entry().gateway().equals("w1"))
            .count());
    assertTrue(
        fleet.log.stream().anyMatch(line -> line.startsWith("w1: this gateway was far behind")),
        fleet.log.toString());
    fleet.kill("w1");
    fleet.start("w1");
    assertEquals(
        65,
        fleet.running.get("w1").read("news", 0, Fleet.ALL).stable(),
        "events after a restart from the stored compacted state");
    fleet.net.playFor(5 * Fleet.SECOND);
    fleet.assertAuditPasses();
  }

  @Test
  void aFullChannelRefusesAppendsWhileOthersAcceptThem() {
    Fleet fleet = fleet(400_000, 1000);
    fleet.cut(List.of("w1"));
    int acceptedBefore = 0;
    for (int i = 0; fleet.refused == 0; i++) {
      fleet.append("w1", "loud", note("loud " + i));
      fleet.net.playFor(20);
      acceptedBefore = i;
    }
    assertTrue(acceptedBefore > 50, "too few appends accepted before the first refusal");
    for (int i = 0; i < 10; i++) {
      fleet.append("w1", "quiet", note("quiet " + i));
      fleet.net.playFor(20);
    }
    assertEquals(
        1, fleet.refused, "appends to a nearly empty channel refused because of a full one");
    fleet.net.heal();
    fleet.net.playFor(10 * Fleet.SECOND);
    fleet.append("w1", "loud", note("again"));
    fleet.net.playFor(10 * Fleet.SECOND);
    assertEquals(1, fleet.refused, "append refused although the earlier events are stable");
    fleet.assertAuditPasses();
    assertTrue(
        fleet.running.values().stream().allMatch(channels -> channels.state().bytes() <= 400_000),
        "size of the events exceeds the quota");
  }

  @Test
  void aFullDiskRefusesAppendsAndLosesNothing() {
    Fleet fleet = fleet(64 << 20, 1000);
    write(fleet, "w1", 3);
    fleet.disks.get("w1").full(true);
    write(fleet, "w1", 3);
    write(fleet, "n1", 3);
    assertEquals(3, fleet.refused);
    assertEquals(6, fleet.running.get("n1").read("news", 0, Fleet.ALL).lines().size());
    fleet.disks.get("w1").full(false);
    fleet.net.playFor(10 * Fleet.SECOND);
    fleet.assertAuditPasses();
  }

  @Test
  void eventsOfALostDiskAreRestoredFromOtherGatewaysAndTheLossIsLogged() {
    Fleet fleet = fleet(64 << 20, 1000);
    write(fleet, "w1", 4);
    fleet.kill("w1");
    fleet.start("w1", new InMemoryKeyValueStore(fleet.net, 5));
    fleet.net.playFor(10 * Fleet.SECOND);
    write(fleet, "w1", 2);
    fleet.net.playFor(10 * Fleet.SECOND);
    fleet.assertAuditPasses();
    assertEquals(4, fleet.running.get("w1").state().ownTakenBack());
    assertTrue(
        fleet.log.contains(
            "n1: w1 came back with a lost or an old disk: it lacks 4 events of its own, which it is"
                + " given back"),
        fleet.log.toString());
  }

  @Test
  void linksForSmallMessagesCarryAllEvents() {
    Fleet fleet = fleet(64 << 20, 8);
    fleet.net.setDefaultFault(Fault.small(MessageSender.SINGLE_DATAGRAM_BYTES));
    fleet.cut(List.of("w1"));
    for (int i = 0; i < 300; i++) {
      fleet.append("w1", "news", Fleet.cue("c".repeat(60) + i % 7, "x".repeat(400)));
      fleet.append("n1", "news", Fleet.cue("c" + i % 7, "y".repeat(400)));
      fleet.net.playFor(1000);
    }
    fleet.net.heal();
    fleet.net.playFor(30 * Fleet.SECOND);
    fleet.assertAuditPasses();
  }

  @Test
  void messagesShrinkForLinksWithASmallerLimitThanOneDatagram() {
    Fleet fleet = fleet(64 << 20, 1000);
    fleet.cut(List.of("w1"));
    for (int i = 0; i < 300; i++) {
      fleet.append("w1", "news", Fleet.cue("c" + i % 7, "from the west " + i));
      fleet.net.playFor(100);
    }
    fleet.net.heal();
    fleet.net.setDefaultFault(Fault.small(280));
    fleet.net.playFor(60 * Fleet.SECOND);
    fleet.assertAuditPasses();
  }

  @Test
  void appendsAreRefusedWhileTheClockIsTooFarAhead() {
    Fleet fleet = fleet(64 << 20, 1000);
    fleet.net.playFor(3 * Fleet.SECOND);
    fleet.net.setClock("w1", 300 * Fleet.SECOND);
    write(fleet, "w1", 2);
    assertEquals(2, fleet.refused);
    fleet.net.setClock("w1", -300 * Fleet.SECOND);
    write(fleet, "w1", 2);
    fleet.net.playFor(10 * Fleet.SECOND);
    fleet.assertAuditPasses();
    assertFalse(fleet.running.get("n1").read("news", 0, Fleet.ALL).lines().get(1).late());
  }
}
