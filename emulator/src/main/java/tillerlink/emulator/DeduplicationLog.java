package tillerlink.emulator;

import java.util.LinkedHashMap;

/** The marks that a group of engines has seen, each for a time. */
final class DeduplicationLog {
  private final LinkedHashMap<String, Long> seen = new LinkedHashMap<>();
  private final long window;

  DeduplicationLog(long window) {
    this.window = window;
  }

  /** Whether a mark is new. */
  boolean first(long now, String mark) {
    while (!seen.isEmpty() && seen.values().iterator().next() <= now - window) {
      seen.remove(seen.keySet().iterator().next());
    }
    return seen.putIfAbsent(mark, now) == null;
  }
}
