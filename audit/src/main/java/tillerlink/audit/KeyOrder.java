package tillerlink.audit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** The open requests of each key of the ordered request classes, oldest first. */
final class KeyOrder {
  private final Map<String, ArrayDeque<String>> requests = new HashMap<>();

  /** Adds a request as the youngest of its key. */
  void add(String key, String id) {
    requests.computeIfAbsent(key, absent -> new ArrayDeque<>()).add(id);
  }

  /** Returns whether no older request of the key is open. A null or unordered key has none. */
  boolean isFirst(String key, String id) {
    ArrayDeque<String> queue = key == null ? null : requests.get(key);
    return queue == null || id.equals(queue.peekFirst());
  }

  /**
   * Returns the oldest open request of a key, or null if it has none.
   *
   * @param key a key that has been added
   */
  String first(String key) {
    return requests.get(key).peekFirst();
  }

  /** Removes a request that has ended; does nothing if its key is null or unordered. */
  void remove(String key, String id) {
    ArrayDeque<String> queue = key == null ? null : requests.get(key);
    if (queue != null) {
      queue.remove(id);
      if (queue.isEmpty()) {
        requests.remove(key);
      }
    }
  }

  /** Removes all requests whose id satisfies a condition. */
  void removeIf(Predicate<String> condition) {
    requests.values().forEach(queue -> queue.removeIf(condition));
  }
}
