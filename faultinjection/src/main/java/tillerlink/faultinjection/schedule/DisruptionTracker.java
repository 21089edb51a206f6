package tillerlink.faultinjection.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which gateways were stopped, killed or cut off from their clients, and when last, to
 * excuse missing responses.
 */
final class DisruptionTracker {
  private final Map<String, Integer> active = new HashMap<>();
  private final Map<String, Long> lastChange = new HashMap<>();

  synchronized void begins(String gateway) {
    active.merge(gateway, 1, Integer::sum);
    lastChange.put(gateway, System.nanoTime());
  }

  synchronized void ends(String gateway) {
    active.merge(gateway, -1, Integer::sum);
    lastChange.put(gateway, System.nanoTime());
  }

  /** Whether a request sent at that time may rightly stay without a response. */
  synchronized boolean disruptedSince(String gateway, long nanos) {
    Long changed = lastChange.get(gateway);
    return active.getOrDefault(gateway, 0) > 0 || (changed != null && changed - nanos >= 0);
  }
}
