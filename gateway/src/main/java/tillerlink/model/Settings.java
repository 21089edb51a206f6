package tillerlink.model;

import java.util.List;
import java.util.Map;

/**
 * Reads plain values by name out of what the door handed over; what is absent or odd reads as the
 * value given.
 */
public record Settings(Map<String, Object> values) {
  public boolean has(String name) {
    return values.containsKey(name);
  }

  public long number(String name, long otherwise) {
    return values.get(name) instanceof Number number ? number.longValue() : otherwise;
  }

  public double amount(String name, double otherwise) {
    return values.get(name) instanceof Number number ? number.doubleValue() : otherwise;
  }

  public boolean flag(String name) {
    return Boolean.TRUE.equals(values.get(name));
  }

  public String text(String name) {
    return values.get(name) instanceof String text ? text : "";
  }

  public List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  public double nth(String name, int place, double otherwise) {
    List<?> list = list(name);
    return place < list.size() && list.get(place) instanceof Number number
        ? number.doubleValue()
        : otherwise;
  }

  public boolean nthFlag(String name, int place) {
    List<?> list = list(name);
    return place < list.size() && Boolean.TRUE.equals(list.get(place));
  }

  /** A list of whole numbers, or null when there is none. */
  public List<Integer> numbers(String name) {
    return has(name) ? list(name).stream().map(n -> ((Number) n).intValue()).toList() : null;
  }
}
