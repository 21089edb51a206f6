package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that channel logs converge to one order, also across a network partition. */
class LogTest {
  private static final List<String> GATEWAYS = List.of("n1", "s1", "w1");

  @Test
  void appendsBecomeStableInTheSameOrderAtAllGateways() {
    Fleet fleet = new Fleet(1, List.of("n1", "n2", "s1", "w1"), ChannelLogConfig.of(GATEWAYS));
    fleet.startAll();
    fleet.net.playFor(2 * Fleet.SECOND);
    for (int i = 0; i < 40; i++) {
      fleet.append(fleet.names.get(i % 4), "news", Fleet.cue("c" + i, "text " + i));
      fleet.net.playFor(700);
      fleet.readAll();
    }
    fleet.net.playFor(5 * Fleet.SECOND);
    fleet.assertAuditPasses();
    assertEquals(40, fleet.running.get("n2").read("news", 0, Fleet.ALL).stable());
  }

  @Test
  void anIsolatedGatewayAcceptsAppendsThatAreLaterMarkedLate() {
    Fleet fleet = new Fleet(2, GATEWAYS, ChannelLogConfig.of(GATEWAYS));
    fleet.startAll();
    fleet.net.playFor(2 * Fleet.SECOND);
    fleet.append("n1", "news", Fleet.cue("a", "before"));
    fleet.net.playFor(3 * Fleet.SECOND);
    fleet.cut(List.of("w1"));
    for (int i = 0; i < 50; i++) {
      fleet.append("n1", "news", Fleet.cue("n" + i, "n"));
      fleet.append("w1", "news", Fleet.cue("w" + i, "w"));
      fleet.net.playFor(Fleet.SECOND);
      fleet.readAll();
    }
    assertTrue(
        fleet.running.get("s1").read("news", 0, Fleet.ALL).stable() > 40,
        "the two connected gateways make events stable without the third");
    assertEquals(List.of("n1", "s1"), fleet.running.get("s1").state().voters());
    assertEquals(
        1,
        fleet.running.get("w1").read("news", 0, Fleet.ALL).stable(),
        "the isolated gateway makes no further events stable");
    fleet.net.heal();
    fleet.net.playFor(10 * Fleet.SECOND);
    fleet.assertAuditPasses();
    assertEquals(GATEWAYS, fleet.running.get("n1").state().voters());
    assertTrue(
        fleet.running.get("n1").read("news", 0, Fleet.ALL).lines().stream()
            .anyMatch(line -> line.late() && line.entry().gateway().equals("w1")),
        "the events of the isolated gateway are marked late");
  }
}
