package tillerlink.net.wire;

import java.util.List;
import java.util.Map;

/** One object of a parsed configuration, whose values are checked as they are read. */
record ConfigObject(Map<String, Object> values) {
  /**
   * The object that a parsed value is.
   *
   * @param what the value's name, for the error
   * @throws InvalidConfigException if it is none
   */
  @SuppressWarnings("unchecked")
  static ConfigObject of(Object raw, String what) {
    if (raw instanceof Map<?, ?> map) {
      return new ConfigObject((Map<String, Object>) map);
    }
    throw new InvalidConfigException("'" + what + "' is not an object");
  }

  /** A value of any type, or null. */
  Object get(String name) {
    return values.get(name);
  }

  /** An object that may be absent; empty then. */
  ConfigObject objectOrEmpty(String name) {
    return of(values.getOrDefault(name, Map.of()), name);
  }

  /**
   * A text.
   *
   * @throws InvalidConfigException if it is absent, empty or none
   */
  String text(String name) {
    if (values.get(name) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidConfigException("'" + name + "' is missing or not a text");
  }

  /** A number, or another if it is absent or none. */
  Number number(String name, Number otherwise) {
    return values.get(name) instanceof Number number ? number : otherwise;
  }

  /**
   * A list.
   *
   * @param what its name, for the error
   * @throws InvalidConfigException if it is absent or none
   */
  List<?> list(String name, String what) {
    return asList(values.get(name), what);
  }

  /** A list that may be absent; empty then. */
  List<?> listOrEmpty(String name, String what) {
    return asList(values.getOrDefault(name, List.of()), what);
  }

  private static List<?> asList(Object raw, String what) {
    if (raw instanceof List<?> list) {
      return list;
    }
    throw new InvalidConfigException("'" + what + "' is not a list");
  }
}
