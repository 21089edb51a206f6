package tillerlink.plain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Flattens nested settings to one map: the values of an object stand under dotted names ({@code
 * caps.max_attempts}), objects in a list under their index ({@code profiles.0.worth}), with the
 * list's length under its own name. A name with the suffix {@code _us} loses it, and its value
 * becomes tenths of a millisecond. Nulls are left out.
 */
public final class FlattenedConfig {
  private static final String MICROS_SUFFIX = "_us";
  private static final String SEPARATOR = ".";

  private FlattenedConfig() {}

  /** The flattened settings, in the order of the nested ones. */
  public static Map<String, Object> of(Map<String, Object> settings) {
    Map<String, Object> flattened = new LinkedHashMap<>();
    settings.forEach((name, value) -> put(flattened, name, value));
    return flattened;
  }

  private static void put(Map<String, Object> flattened, String name, Object value) {
    if (value instanceof Map<?, ?> object) {
      object.forEach((part, partValue) -> put(flattened, name + SEPARATOR + part, partValue));
    } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
      flattened.put(name, (long) list.size());
      for (int i = 0; i < list.size(); i++) {
        put(flattened, name + SEPARATOR + i, list.get(i));
      }
    } else if (value instanceof Number number && name.endsWith(MICROS_SUFFIX)) {
      flattened.put(
          name.substring(0, name.length() - MICROS_SUFFIX.length()),
          Units.spanToTenths(number.longValue()));
    } else if (value != null) {
      flattened.put(name, value);
    }
  }
}
