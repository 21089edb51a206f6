package tillerlink.model;

import java.util.List;
import java.util.Map;

/**
 * Typed access to settings by their dotted names. A setting that is absent or has another type
 * reads as the default value.
 *
 * @param values the settings by name: numbers, booleans, strings and lists of them
 */
public record Settings(Map<String, Object> values) {
  /** Returns whether a setting with that name exists. */
  public boolean has(String name) {
    return values.containsKey(name);
  }

  /** Returns an integer setting, or the default value. */
  public long number(String name, long defaultValue) {
    return values.get(name) instanceof Number number ? number.longValue() : defaultValue;
  }

  /** Returns a decimal setting, or the default value. */
  public double decimal(String name, double defaultValue) {
    return values.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /** Returns a boolean setting; false if it is absent or not a boolean. */
  public boolean flag(String name) {
    return Boolean.TRUE.equals(values.get(name));
  }

  /** Returns a string setting; empty if it is absent or not a string. */
  public String text(String name) {
    return values.get(name) instanceof String text ? text : "";
  }

  /** Returns a list setting; empty if it is absent or not a list. */
  public List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  /** Returns the number at an index, starting at 0, of a list setting, or the default value. */
  public double numberAt(String name, int index, double defaultValue) {
    List<?> list = list(name);
    return index < list.size() && list.get(index) instanceof Number number
        ? number.doubleValue()
        : defaultValue;
  }

  /** Returns the boolean at an index, starting at 0, of a list setting; false if it is absent. */
  public boolean flagAt(String name, int index) {
    List<?> list = list(name);
    return index < list.size() && Boolean.TRUE.equals(list.get(index));
  }

  /**
   * Returns a list setting as integers, or null if the setting is absent.
   *
   * @throws ClassCastException if an element is not a number
   */
  public List<Integer> integers(String name) {
    return has(name)
        ? list(name).stream().map(element -> ((Number) element).intValue()).toList()
        : null;
  }
}
