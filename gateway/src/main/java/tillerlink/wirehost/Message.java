package tillerlink.wirehost;

import java.util.List;
import java.util.Map;

/**
 * One event as it came in: its name, then its values in the wire's order; what is absent reads as
 * null.
 */
record Message(String name, List<Object> values) {
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

  long number(int place, String what) {
    if (has(place) && values.get(place) instanceof Number number) {
      return number.longValue();
    }
    throw wrong(place, what, "a number");
  }

  long numberOr(int place, long otherwise) {
    return has(place) && values.get(place) instanceof Number number
        ? number.longValue()
        : otherwise;
  }

  double amountOr(int place, double otherwise) {
    return has(place) && values.get(place) instanceof Number number
        ? number.doubleValue()
        : otherwise;
  }

  String text(int place, String what) {
    if (has(place) && values.get(place) instanceof String text) {
      return text;
    }
    throw wrong(place, what, "a text");
  }

  String textOr(int place, String otherwise) {
    return has(place) && values.get(place) instanceof String text ? text : otherwise;
  }

  boolean flag(int place) {
    return has(place) && Boolean.TRUE.equals(values.get(place));
  }

  @SuppressWarnings("unchecked")
  List<Object> list(int place, String what) {
    if (has(place) && values.get(place) instanceof List<?> list) {
      return (List<Object>) list;
    }
    throw wrong(place, what, "an array");
  }

  @SuppressWarnings("unchecked")
  Map<String, Object> object(int place, String what) {
    if (has(place) && values.get(place) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw wrong(place, what, "an object");
  }

  /** The numbers of a load report, or null when none came. */
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

  private MalformedWireException wrong(int place, String what, String wanted) {
    return new MalformedWireException(
        "event " + name + ": value " + place + " (" + what + ") is not " + wanted);
  }
}
