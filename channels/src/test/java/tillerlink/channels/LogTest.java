package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LogTest {
  private static final List<String> THREE = List.of("n1", "s1", "w1");

  @Test
  void appendsBecomeStableEverywhereInOneOrder() {
    Fleet fleet = new Fleet(1, List.of("n1", "n2", "s1", "w1"), ChannelLogConfig.of(THREE));
    fleet.startAll();
    fleet.net.playFor(2 * Fleet.SECOND);
    for (int i = 0; i < 40; i++) {
      fleet.append(fleet.names.get(i % 4), "news", Fleet.cue("c" + i, "text " + i));
      fleet.net.playFor(700);
      fleet.lookAll();
    }
    fleet.net.playFor(5 * Fleet.SECOND);
    fleet.assertAuditPasses();
    assertEquals(40, fleet.running.get("n2").read("news", 0, Fleet.ALL).stable());
  }

  @Test
  void aGatewayThatIsCutOffAcceptsAppendsAndTheyComeLate() {
    Fleet fleet = new Fleet(2, THREE, ChannelLogConfig.of(THREE));
    fleet.startAll();
    fleet.net.playFor(2 * Fleet.SECOND);
    fleet.append("n1", "news", Fleet.cue("a", "before"));
    fleet.net.playFor(3 * Fleet.SECOND);
    fleet.cut(List.of("w1"));
    for (int i = 0; i < 50; i++) {
      fleet.append("n1", "news", Fleet.cue("n" + i, "n"));
      fleet.append("w1", "news", Fleet.cue("w" + i, "w"));
      fleet.net.playFor(Fleet.SECOND);
      fleet.lookAll();
    }
    assertTrue(
        fleet.running.get("s1").read("news", 0, Fleet.ALL).stable() > 40,
        "the two go on without the third");
    assertEquals(List.of("n1", "s1"), fleet.running.get("s1").state().voters());
    assertEquals(
        1,
        fleet.running.get("w1").read("news", 0, Fleet.ALL).stable(),
        "it alone agrees on nothing");
    fleet.net.heal();
    fleet.net.playFor(10 * Fleet.SECOND);
    fleet.assertAuditPasses();
    assertEquals(THREE, fleet.running.get("n1").state().voters());
    assertTrue(
        fleet.running.get("n1").read("news", 0, Fleet.ALL).lines().stream()
            .anyMatch(line -> line.late() && line.entry().gateway().equals("w1")),
        "its events are marked late");
  }
}
