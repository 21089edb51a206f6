package tillerlink.wirehost;

import java.util.List;
import java.util.Map;

/**
 * One event of the simulator's wire.
 *
 * @param name the name of the event
 * @param values all values of the event's array, starting with the name; a missing value counts as
 *     null
 */
record Message(String name, List<Object> values) {
  /**
   * Creates an event from a parsed JSON value.
   *
   * @throws MalformedWireException if the value is not an array that starts with a name
   */
  static Message of(Object raw) {
    if (!(raw instanceof List<?> list) || list.isEmpty() || !(list.get(0) instanceof String name)) {
      throw new MalformedWireException(
          "expected an event as an array starting with its name, got " + raw);
    }
    @SuppressWarnings("unchecked")
    List<Object> values = (List<Object>) list;
    return new Message(name, values);
  }

  boolean has(int index) {
    return index < values.size() && values.get(index) != null;
  }

  /**
   * Returns an integer.
   *
   * @param index the index of the value in the event
   * @param valueName the name of the value, for the error message
   * @throws MalformedWireException if the value is missing or not a number
   */
  long number(int index, String valueName) {
    if (has(index) && values.get(index) instanceof Number number) {
      return number.longValue();
    }
    throw malformed(index, valueName, "a number");
  }

  /** Returns an integer, or the default value if it is missing or not a number. */
  long numberOr(int index, long defaultValue) {
    return has(index) && values.get(index) instanceof Number number
        ? number.longValue()
        : defaultValue;
  }

  /** Returns a decimal number, or the default value if it is missing or not a number. */
  double decimalOr(int index, double defaultValue) {
    return has(index) && values.get(index) instanceof Number number
        ? number.doubleValue()
        : defaultValue;
  }

  /**
   * Returns a string.
   *
   * @param index the index of the value in the event
   * @param valueName the name of the value, for the error message
   * @throws MalformedWireException if the value is missing or not a string
   */
  String text(int index, String valueName) {
    if (has(index) && values.get(index) instanceof String text) {
      return text;
    }
    throw malformed(index, valueName, "a string");
  }

  /** Returns a string, or the default value if it is missing or not a string. */
  String textOr(int index, String defaultValue) {
    return has(index) && values.get(index) instanceof String text ? text : defaultValue;
  }

  /** Returns a boolean; false if it is missing or not a boolean. */
  boolean flag(int index) {
    return has(index) && Boolean.TRUE.equals(values.get(index));
  }

  /**
   * Returns an array.
   *
   * @param index the index of the value in the event
   * @param valueName the name of the value, for the error message
   * @throws MalformedWireException if the value is missing or not an array
   */
  @SuppressWarnings("unchecked")
  List<Object> list(int index, String valueName) {
    if (has(index) && values.get(index) instanceof List<?> list) {
      return (List<Object>) list;
    }
    throw malformed(index, valueName, "an array");
  }

  /**
   * Returns an object.
   *
   * @param index the index of the value in the event
   * @param valueName the name of the value, for the error message
   * @throws MalformedWireException if the value is missing or not an object
   */
  @SuppressWarnings("unchecked")
  Map<String, Object> object(int index, String valueName) {
    if (has(index) && values.get(index) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw malformed(index, valueName, "an object");
  }

  /**
   * Returns the numbers of a load report; an element that is not a number is returned as NaN.
   *
   * @param index the index of the load report in the event
   * @return the load report, or null if it is missing or not an array
   */
  double[] report(int index) {
    if (!has(index) || !(values.get(index) instanceof List<?> row)) {
      return null;
    }
    double[] report = new double[row.size()];
    for (int i = 0; i < report.length; i++) {
      report[i] = row.get(i) instanceof Number number ? number.doubleValue() : Double.NaN;
    }
    return report;
  }

  private MalformedWireException malformed(int index, String valueName, String expectedType) {
    return new MalformedWireException(
        "event "
            + name
            + ": expected "
            + expectedType
            + " as value "
            + index
            + " ("
            + valueName
            + "), got "
            + (has(index) ? values.get(index) : "no value"));
  }
}
