package tillerlink.net.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tillerlink.model.Settings;

/** The request classes of the settings, as far as requests are accepted by them. Immutable. */
final class RequestClasses {
  private final Map<String, Integer> indexByName = new HashMap<>();

  /** Those whose requests bear an idempotency key. */
  private final Set<Integer> keyed = new HashSet<>();

  /** Those that keep the order of requests about the same subject. */
  private final Set<Integer> ordered = new HashSet<>();

  private final long longestDeadline;

  RequestClasses(Settings settings) {
    long longest = 1;
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      String prefix = "profiles." + i;
      indexByName.put(settings.text(prefix + ".name"), i);
      if (settings.text(prefix + ".semantics").equals("by_key")) {
        keyed.add(i);
      }
      if (settings.flag(prefix + ".keep_order")) {
        ordered.add(i);
      }
      longest = Math.max(longest, settings.number(prefix + ".hard_limit", 1));
    }
    longestDeadline = longest;
  }

  /** The index of a class in the settings, or null if there is none of that name. */
  Integer index(String name) {
    return indexByName.get(name);
  }

  boolean requiresKey(int requestClass) {
    return keyed.contains(requestClass);
  }

  boolean keepsOrder(int requestClass) {
    return ordered.contains(requestClass);
  }

  /** In tenths of a millisecond. */
  long longestDeadline() {
    return longestDeadline;
  }
}
