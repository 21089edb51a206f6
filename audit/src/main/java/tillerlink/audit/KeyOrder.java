package tillerlink.audit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** For each key of the ordered request classes, the requests that are not over, oldest first. */
final class KeyOrder {
  private final Map<String, ArrayDeque<String>> requests = new HashMap<>();

  void add(String key, String id) {
    requests.computeIfAbsent(key, absent -> new ArrayDeque<>()).add(id);
  }

  /** Whether no older request of the key is open; true also if the key has no order. */
  boolean isFirst(String key, String id) {
    ArrayDeque<String> queue = key == null ? null : requests.get(key);
    return queue == null || id.equals(queue.peekFirst());
  }

  /** The oldest open request of a key that has an order; null if there is none. */
  String first(String key) {
    return requests.get(key).peekFirst();
  }

  /** Removes a request that is over. */
  void remove(String key, String id) {
    ArrayDeque<String> queue = key == null ? null : requests.get(key);
    if (queue != null) {
      queue.remove(id);
      if (queue.isEmpty()) {
        requests.remove(key);
      }
    }
  }

  void removeIf(Predicate<String> condition) {
    requests.values().forEach(queue -> queue.removeIf(condition));
  }
}
