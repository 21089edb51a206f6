package tillerlink.model;

import java.util.List;
import java.util.Map;

/**
 * Reads settings by their dotted names; what is absent or of another type reads as the given
 * default.
 *
 * @param values numbers, booleans, texts and lists of them by name
 */
public record Settings(Map<String, Object> values) {
  /** Whether there is a setting of that name. */
  public boolean has(String name) {
    return values.containsKey(name);
  }

  /** A whole number. */
  public long number(String name, long otherwise) {
    return values.get(name) instanceof Number number ? number.longValue() : otherwise;
  }

  /** A number with a fraction. */
  public double amount(String name, double otherwise) {
    return values.get(name) instanceof Number number ? number.doubleValue() : otherwise;
  }

  /** Whether a setting is true; false if it is absent. */
  public boolean flag(String name) {
    return Boolean.TRUE.equals(values.get(name));
  }

  /** A text; empty if it is absent. */
  public String text(String name) {
    return values.get(name) instanceof String text ? text : "";
  }

  /** A list; empty if it is absent. */
  public List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  /** A number out of a list, by its position from 0. */
  public double nth(String name, int position, double otherwise) {
    List<?> list = list(name);
    return position < list.size() && list.get(position) instanceof Number number
        ? number.doubleValue()
        : otherwise;
  }

  /** Whether an element of a list is true, by its position from 0. */
  public boolean nthFlag(String name, int position) {
    List<?> list = list(name);
    return position < list.size() && Boolean.TRUE.equals(list.get(position));
  }

  /** A list of whole numbers, or null when there is none. */
  public List<Integer> numbers(String name) {
    return has(name) ? list(name).stream().map(n -> ((Number) n).intValue()).toList() : null;
  }
}
