package tillerlink.net.state;

import java.util.Map;
import tillerlink.net.wire.EndpointWatchEvent;

/**
 * What a gateway caches of the endpoint list across restarts, for a start while the discovery
 * service is unavailable. Called on the event-loop thread, within iterations; it never blocks. All
 * times are tenths of a millisecond.
 */
public interface EndpointCache {
  /**
   * The cached list, weighed by its age.
   *
   * @param engines the engines, or null if none are cached, or the list is too old to be trusted at
   *     all
   * @param trust of each engine by id, above 0 and below 1
   */
  record CachedList(EndpointWatchEvent engines, Map<String, Double> trust) {}

  /** Called once, at a start at which the discovery service has published nothing. */
  CachedList loadAtStart(long now);

  /**
   * The discovery service has published a list; the list to apply instead. Guards against one that
   * lost half of the fleet at once.
   */
  EndpointWatchEvent onEndpointsReceived(long now, EndpointWatchEvent received);
}
