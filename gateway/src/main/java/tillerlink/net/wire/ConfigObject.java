package tillerlink.net.wire;

import java.util.List;
import java.util.Map;

/**
 * One JSON object of a parsed configuration. Its accessors check the type of a value on each read.
 *
 * @param values the values by key
 */
record ConfigObject(Map<String, Object> values) {
  /**
   * Wraps a parsed value that must be an object.
   *
   * @param raw the parsed value; null if it is missing
   * @param label the key of the value, as the error message states it
   * @throws InvalidConfigException if the value is not an object
   */
  @SuppressWarnings("unchecked")
  static ConfigObject of(Object raw, String label) {
    if (raw instanceof Map<?, ?> map) {
      return new ConfigObject((Map<String, Object>) map);
    }
    throw new InvalidConfigException(
        "'" + label + "' must be an object, " + (raw == null ? "but is missing" : "found " + raw));
  }

  /** Returns the value of a key, which may have any type, or null if it is missing. */
  Object get(String name) {
    return values.get(name);
  }

  /**
   * Returns an object, or an empty one if the key is missing.
   *
   * @throws InvalidConfigException if the value is not an object
   */
  ConfigObject objectOrEmpty(String name) {
    return of(values.getOrDefault(name, Map.of()), name);
  }

  /**
   * Returns a string.
   *
   * @throws InvalidConfigException if the value is missing, empty or not a string
   */
  String text(String name) {
    if (values.get(name) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidConfigException(
        "'"
            + name
            + "' must be a non-empty string, "
            + (values.get(name) == null ? "but is missing" : "found " + values.get(name)));
  }

  /** Returns a number, or the default if the value is missing or not a number. */
  Number number(String name, Number defaultValue) {
    return values.get(name) instanceof Number number ? number : defaultValue;
  }

  /**
   * Returns a list.
   *
   * @param label the full key of the list, as the error message states it
   * @throws InvalidConfigException if the value is missing or not a list
   */
  List<?> list(String name, String label) {
    return asList(values.get(name), label);
  }

  /**
   * Returns a list, or an empty one if the key is missing.
   *
   * @param label the full key of the list, as the error message states it
   * @throws InvalidConfigException if the value is not a list
   */
  List<?> listOrEmpty(String name, String label) {
    return asList(values.getOrDefault(name, List.of()), label);
  }

  private static List<?> asList(Object raw, String label) {
    if (raw instanceof List<?> list) {
      return list;
    }
    throw new InvalidConfigException(
        "'" + label + "' must be a list, " + (raw == null ? "but is missing" : "found " + raw));
  }
}
