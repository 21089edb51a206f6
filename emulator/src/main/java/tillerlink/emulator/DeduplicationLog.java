package tillerlink.emulator;

import java.util.LinkedHashMap;

/** The idempotency keys that a deduplication group of engines has seen, each for a time. */
final class DeduplicationLog {
  private final LinkedHashMap<String, Long> seen = new LinkedHashMap<>();
  private final long window;

  DeduplicationLog(long window) {
    this.window = window;
  }

  /** Whether a key is seen for the first time within the window. */
  boolean isFirst(long now, String key) {
    while (!seen.isEmpty() && seen.values().iterator().next() <= now - window) {
      seen.remove(seen.keySet().iterator().next());
    }
    return seen.putIfAbsent(key, now) == null;
  }
}
