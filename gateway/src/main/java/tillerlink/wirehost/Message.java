package tillerlink.wirehost;

import java.util.List;
import java.util.Map;

/**
 * One event of the wire.
 *
 * @param values all values of its array, the name first; those that are absent count as null
 */
record Message(String name, List<Object> values) {
  /**
   * The event that a parsed value is.
   *
   * @throws MalformedWireException if it is none
   */
  static Message of(Object raw) {
    if (!(raw instanceof List<?> list) || list.isEmpty() || !(list.get(0) instanceof String name)) {
      throw new MalformedWireException(
          "an event is not an array that begins with its name: " + raw);
    }
    @SuppressWarnings("unchecked")
    List<Object> values = (List<Object>) list;
    return new Message(name, values);
  }

  boolean has(int place) {
    return place < values.size() && values.get(place) != null;
  }

  /**
   * A whole number.
   *
   * @param what the value's name, for the error
   * @throws MalformedWireException if it is absent or no number
   */
  long number(int place, String what) {
    if (has(place) && values.get(place) instanceof Number number) {
      return number.longValue();
    }
    throw malformed(place, what, "a number");
  }

  /** A whole number, or another if it is absent or none. */
  long numberOr(int place, long otherwise) {
    return has(place) && values.get(place) instanceof Number number
        ? number.longValue()
        : otherwise;
  }

  /** A number with a fraction, or another if it is absent or none. */
  double amountOr(int place, double otherwise) {
    return has(place) && values.get(place) instanceof Number number
        ? number.doubleValue()
        : otherwise;
  }

  /**
   * A text.
   *
   * @throws MalformedWireException if it is absent or none
   */
  String text(int place, String what) {
    if (has(place) && values.get(place) instanceof String text) {
      return text;
    }
    throw malformed(place, what, "a text");
  }

  /** A text, or another if it is absent or none. */
  String textOr(int place, String otherwise) {
    return has(place) && values.get(place) instanceof String text ? text : otherwise;
  }

  /** Whether a value is true; false if it is absent. */
  boolean flag(int place) {
    return has(place) && Boolean.TRUE.equals(values.get(place));
  }

  /**
   * An array.
   *
   * @throws MalformedWireException if it is absent or none
   */
  @SuppressWarnings("unchecked")
  List<Object> list(int place, String what) {
    if (has(place) && values.get(place) instanceof List<?> list) {
      return (List<Object>) list;
    }
    throw malformed(place, what, "an array");
  }

  /**
   * An object.
   *
   * @throws MalformedWireException if it is absent or none
   */
  @SuppressWarnings("unchecked")
  Map<String, Object> object(int place, String what) {
    if (has(place) && values.get(place) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw malformed(place, what, "an object");
  }

  /** The numbers of a load report, where NaN stands for what is none; null if it is absent. */
  double[] report(int place) {
    if (!has(place) || !(values.get(place) instanceof List<?> row)) {
      return null;
    }
    double[] report = new double[row.size()];
    for (int i = 0; i < report.length; i++) {
      report[i] = row.get(i) instanceof Number number ? number.doubleValue() : Double.NaN;
    }
    return report;
  }

  private MalformedWireException malformed(int place, String what, String wanted) {
    return new MalformedWireException(
        "event " + name + ": value " + place + " (" + what + ") is not " + wanted);
  }
}
