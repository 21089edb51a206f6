package tillerlink.net.state;

import java.util.Map;
import tillerlink.net.wire.EndpointWatchEvent;

/**
 * A cache that stores the endpoint list across restarts, so that a gateway can start while the
 * discovery service is unavailable. Called on the event-loop thread, within iterations; no method
 * blocks. All times are tenths of a millisecond.
 */
public interface EndpointCache {
  /**
   * A cached endpoint list with the trust that its age leaves in each engine.
   *
   * @param engines the engines; null if none are cached or the list is too old to be trusted at all
   * @param trust the trust in each engine by its id, above 0 and below 1
   */
  record CachedList(EndpointWatchEvent engines, Map<String, Double> trust) {}

  /**
   * Returns the cached list. Called once, at a start for which the discovery service has published
   * nothing.
   *
   * @param now the time of the start, in tenths of a millisecond
   */
  CachedList loadAtStart(long now);

  /**
   * Returns the endpoint list to apply instead of one that the discovery service has published.
   * Guards against a published list that lost half of the fleet at once.
   *
   * @param now the current time, in tenths of a millisecond
   * @param received the published list or change
   */
  EndpointWatchEvent onEndpointsReceived(long now, EndpointWatchEvent received);
}
