package tillerlink.net.state;

import java.util.Map;
import tillerlink.net.wire.EndpointWatchEvent;

/**
 * What a gateway remembers of the engines across restarts, for a start with discovery down. Called
 * in turns, it never waits.
 */
public interface EndpointCache {
  /**
   * What is remembered, weighed by its age.
   *
   * @param engines the engines, or null if nothing is, or it is too old to trust at all
   * @param trust of each engine by id, above 0 and below 1
   */
  record Remembered(EndpointWatchEvent engines, Map<String, Double> trust) {}

  /** Asked once, at a start for which discovery told nothing. Times are tenths of a millisecond. */
  Remembered loadAtStart(long now);

  /**
   * Discovery told the list; what is to be taken for it. Guards against one that lost half of the
   * fleet at once.
   */
  EndpointWatchEvent onEndpointsReceived(long now, EndpointWatchEvent news);
}
