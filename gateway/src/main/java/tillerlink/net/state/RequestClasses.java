package tillerlink.net.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tillerlink.model.Settings;

/** The properties of the configured request classes that decide on acceptance. Immutable. */
final class RequestClasses {
  private final Map<String, Integer> indexByName = new HashMap<>();

  /** The indexes of the classes whose requests must have an idempotency key. */
  private final Set<Integer> keyRequired = new HashSet<>();

  /** The indexes of the classes that preserve the order of requests with the same subject. */
  private final Set<Integer> orderPreserving = new HashSet<>();

  private final long longestDeadline;

  RequestClasses(Settings settings) {
    long longest = 1;
    for (int i = 0; i < settings.number("profiles", 0); i++) {
      String prefix = "profiles." + i;
      indexByName.put(settings.text(prefix + ".name"), i);
      if (settings.text(prefix + ".semantics").equals("by_key")) {
        keyRequired.add(i);
      }
      if (settings.flag(prefix + ".keep_order")) {
        orderPreserving.add(i);
      }
      longest = Math.max(longest, settings.number(prefix + ".hard_limit", 1));
    }
    longestDeadline = longest;
  }

  /** Returns the index of a class in the settings, or null if no class has that name. */
  Integer indexOf(String name) {
    return indexByName.get(name);
  }

  boolean requiresKey(int requestClass) {
    return keyRequired.contains(requestClass);
  }

  boolean preservesOrder(int requestClass) {
    return orderPreserving.contains(requestClass);
  }

  /** Returns the longest deadline of all classes, in tenths of a millisecond. */
  long longestDeadline() {
    return longestDeadline;
  }
}
