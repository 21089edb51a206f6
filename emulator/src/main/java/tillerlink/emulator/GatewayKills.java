package tillerlink.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import tillerlink.fleet.ScheduledFault;

/** The injector of gateway kills. Its listeners carry out the kill and the restart of a gateway. */
final class GatewayKills {
  private static final String GATEWAY_NAME = "n[0-9]{1,6}";

  private final EmulatedCluster cluster;
  private final List<IntConsumer> killListeners = new ArrayList<>();
  private final List<IntConsumer> startListeners = new ArrayList<>();

  GatewayKills(EmulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Adds a listener that is called with a gateway's index when the gateway is to be killed. */
  void onKill(IntConsumer listener) {
    killListeners.add(listener);
  }

  /** Adds a listener that is called with a gateway's index when the gateway is to be restarted. */
  void onStart(IntConsumer listener) {
    startListeners.add(listener);
  }

  /**
   * Kills the gateway that the fault names and schedules its restart at the end of the fault. If
   * there is no such gateway, it only logs that.
   */
  void kill(ScheduledFault fault) {
    String name = fault.whom();
    int index = name.matches(GATEWAY_NAME) ? Integer.parseInt(name.substring(1)) : -1;
    if (index < 0 || index >= cluster.fleet.gateways()) {
      cluster.logIncident(name + " is not there");
      return;
    }
    killListeners.forEach(listener -> listener.accept(index));
    cluster.auditor.onGatewayKilled(index);
    cluster.logIncident(name + " is killed");
    cluster.timeline.at(
        cluster.now() + fault.lasts(),
        () -> {
          startListeners.forEach(listener -> listener.accept(index));
          cluster.logIncident(name + " starts anew");
        });
  }
}
