package tillerlink.faultinjection.soak;

import java.util.function.Supplier;
import tillerlink.model.Engine.Status;

/**
 * The knowledge of the gateways about the engines, derived from the endpoint lists that the
 * discovery service recorded as sent.
 */
final class ServiceHistory implements SoakOracle.DiscoveryHistory {
  private final Supplier<SoakDiscovery> discovery;
  private final Supplier<SoakGateways> gateways;

  /**
   * Creates a history. The suppliers are first called by a query, because the parts of the run are
   * created after this object.
   */
  ServiceHistory(Supplier<SoakDiscovery> discovery, Supplier<SoakGateways> gateways) {
    this.discovery = discovery;
    this.gateways = gateways;
  }

  private Iterable<SoakDiscovery.Event> eventsOf(int engine) {
    return discovery.get().eventsOf("e" + engine);
  }

  /** Returns when a gateway counts as knowing an event. */
  private double knownAt(int gateway, SoakDiscovery.Event event) {
    SoakGateways processes = gateways.get();
    return discovery
        .get()
        .knownAt(gateway, event, processes.startedAt(gateway), processes.indexAtStart(gateway));
  }

  private static boolean isStart(SoakDiscovery.Event event) {
    return event.entry().standing() == Status.READY && event.entry().startedMs() > 0;
  }

  @Override
  public double notReadyAt(int gateway, int engine, double at) {
    double since = Double.MAX_VALUE;
    for (SoakDiscovery.Event event : eventsOf(engine)) {
      double knownAt = knownAt(gateway, event);
      if (event.entry().standing() == Status.READY) {
        // From the time of the event on the gateway may know it, and then may send there again.
        since = event.at() <= at ? Double.MAX_VALUE : since;
      } else {
        since = Math.min(since, knownAt);
      }
    }
    return since;
  }

  @Override
  public double startedAt(int engine, double at) {
    double started = 0;
    for (SoakDiscovery.Event event : eventsOf(engine)) {
      if (event.at() <= at && isStart(event)) {
        started = event.at();
      }
    }
    return started;
  }

  @Override
  public double startKnownAt(int gateway, int engine, double at) {
    double knownAt = Double.MAX_VALUE;
    for (SoakDiscovery.Event event : eventsOf(engine)) {
      if (event.at() <= at && isStart(event)) {
        knownAt = knownAt(gateway, event);
      }
    }
    return knownAt;
  }

  @Override
  public boolean inFirstZone(int engine) {
    return SoakSettings.ZONES.get(engine % 2).equals(SoakSettings.ZONES.get(0));
  }
}
