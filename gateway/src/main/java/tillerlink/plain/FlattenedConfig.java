package tillerlink.plain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Flattens nested settings into a single map. The members of an object get dotted names ({@code
 * caps.max_attempts}); objects in a list are numbered ({@code profiles.0.worth}), and the list's
 * own name maps to its length. A number whose name ends in {@code _us} is converted from
 * microseconds to tenths of a millisecond, and its name loses the suffix. Nulls are omitted.
 */
public final class FlattenedConfig {
  private static final String MICROS_SUFFIX = "_us";
  private static final String SEPARATOR = ".";

  private FlattenedConfig() {}

  /** Returns the flattened settings, in the order of the nested ones. */
  public static Map<String, Object> of(Map<String, Object> settings) {
    Map<String, Object> flattened = new LinkedHashMap<>();
    settings.forEach((name, value) -> put(flattened, name, value));
    return flattened;
  }

  private static void put(Map<String, Object> flattened, String name, Object value) {
    if (value instanceof Map<?, ?> object) {
      object.forEach(
          (member, memberValue) -> put(flattened, name + SEPARATOR + member, memberValue));
    } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
      flattened.put(name, (long) list.size());
      for (int i = 0; i < list.size(); i++) {
        put(flattened, name + SEPARATOR + i, list.get(i));
      }
    } else if (value instanceof Number number && name.endsWith(MICROS_SUFFIX)) {
      flattened.put(
          name.substring(0, name.length() - MICROS_SUFFIX.length()),
          Units.durationToTenths(number.longValue()));
    } else if (value != null) {
      flattened.put(name, value);
    }
  }
}
