package tillerlink.plain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings as a plain map: parts of an object stand under dotted names ({@code
 * caps.max_attempts}), objects in a list under their place ({@code profiles.0.worth}), with the
 * list's length under its own name. A name that ends in {@code _us} loses that ending, and its
 * value becomes tenths of a millisecond.
 */
public final class FlattenedConfig {
  private static final String MICROS_ENDING = "_us";

  private FlattenedConfig() {}

  public static Map<String, Object> of(Map<String, Object> settings) {
    Map<String, Object> plain = new LinkedHashMap<>();
    settings.forEach((name, value) -> put(plain, name, value));
    return plain;
  }

  private static void put(Map<String, Object> plain, String name, Object value) {
    if (value instanceof Map<?, ?> map) {
      map.forEach((part, partValue) -> put(plain, name + "." + part, partValue));
    } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
      plain.put(name, (long) list.size());
      for (int i = 0; i < list.size(); i++) {
        put(plain, name + "." + i, list.get(i));
      }
    } else if (value instanceof Number number && name.endsWith(MICROS_ENDING)) {
      plain.put(
          name.substring(0, name.length() - MICROS_ENDING.length()),
          Units.spanToTenths(number.longValue()));
    } else if (value != null) {
      plain.put(name, value);
    }
  }
}
