package tillerlink.faultinjection.play;

import java.util.HashMap;
import java.util.Map;

/**
 * Which gateways were stopped, killed or cut from their clients, and when last: what nobody may be
 * blamed for.
 */
final class Disturbed {
  private final Map<String, Integer> now = new HashMap<>();
  private final Map<String, Long> last = new HashMap<>();

  synchronized void begins(String gateway) {
    now.merge(gateway, 1, Integer::sum);
    last.put(gateway, System.nanoTime());
  }

  synchronized void ends(String gateway) {
    now.merge(gateway, -1, Integer::sum);
    last.put(gateway, System.nanoTime());
  }

  /** Whether a client that asked at that time may have been left without an answer. */
  synchronized boolean since(String gateway, long nanos) {
    Long at = last.get(gateway);
    return now.getOrDefault(gateway, 0) > 0 || at != null && at - nanos >= 0;
  }
}
