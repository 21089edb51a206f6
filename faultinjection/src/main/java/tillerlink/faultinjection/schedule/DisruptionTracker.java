package tillerlink.faultinjection.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which gateways are stopped, killed or cut off from their clients, and when that last
 * changed, so that responses that are missing for that reason are excused.
 */
final class DisruptionTracker {
  private final Map<String, Integer> active = new HashMap<>();
  private final Map<String, Long> lastChange = new HashMap<>();

  /** Records that a disruption of a gateway begins. */
  synchronized void begins(String gateway) {
    active.merge(gateway, 1, Integer::sum);
    lastChange.put(gateway, System.nanoTime());
  }

  /** Records that a disruption of a gateway has ended. */
  synchronized void ends(String gateway) {
    active.merge(gateway, -1, Integer::sum);
    lastChange.put(gateway, System.nanoTime());
  }

  /**
   * Returns whether a gateway was disrupted at or after a time, so that a request sent then may
   * correctly stay without a response.
   *
   * @param nanos the time by {@code System.nanoTime()}
   */
  synchronized boolean disruptedSince(String gateway, long nanos) {
    Long changed = lastChange.get(gateway);
    return active.getOrDefault(gateway, 0) > 0 || (changed != null && changed - nanos >= 0);
  }
}
