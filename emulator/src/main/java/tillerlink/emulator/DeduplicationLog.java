package tillerlink.emulator;

import java.util.LinkedHashMap;

/**
 * A record of the idempotency keys that a deduplication group of engines has seen. Each key expires
 * after a window.
 */
final class DeduplicationLog {
  private final LinkedHashMap<String, Long> seen = new LinkedHashMap<>();
  private final long window;

  /**
   * Creates an empty record.
   *
   * @param window how long a key is remembered, in tenths of a millisecond
   */
  DeduplicationLog(long window) {
    this.window = window;
  }

  /**
   * Records a key and returns whether it is new. A repeat does not extend the window of its key.
   *
   * @param now the current time, in tenths of a millisecond
   * @param key the idempotency key
   */
  boolean isFirst(long now, String key) {
    while (!seen.isEmpty() && seen.values().iterator().next() <= now - window) {
      seen.remove(seen.keySet().iterator().next());
    }
    return seen.putIfAbsent(key, now) == null;
  }
}
