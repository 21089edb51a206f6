package tillerlink.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import tillerlink.fleet.ScheduledFault;

/** Kills gateways of an emulated cluster and starts them again; who listens is called for both. */
final class GatewayKills {
  private static final String GATEWAY_NAME = "n[0-9]{1,6}";

  private final EmulatedCluster cluster;
  private final List<IntConsumer> killListeners = new ArrayList<>();
  private final List<IntConsumer> startListeners = new ArrayList<>();

  GatewayKills(EmulatedCluster cluster) {
    this.cluster = cluster;
  }

  void onKill(IntConsumer listener) {
    killListeners.add(listener);
  }

  void onStart(IntConsumer listener) {
    startListeners.add(listener);
  }

  /** Kills the gateway that the fault names, if it exists, and starts it again after its time. */
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
