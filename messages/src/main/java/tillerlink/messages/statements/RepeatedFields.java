package tillerlink.messages.statements;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Writes and reads lists and small maps as repeated fields. Each element is a message of its own,
 * so that zeros and empty texts keep their place.
 */
final class RepeatedFields {
  /** Elements of a list or map at the most; a longer one is malformed. */
  static final int MAX_LENGTH = 256;

  private static final int VALUE = 1;

  private static final int GROUP = 1;
  private static final int VERSION = 2;

  private static final int FIRST = 1;
  private static final int SECOND = 2;

  private RepeatedFields() {}

  // ---- writing ----

  static FieldWriter numbers(FieldWriter out, int field, List<Long> values) {
    values.forEach(value -> out.within(field, new FieldWriter().fixed(VALUE, value)));
    return out;
  }

  static FieldWriter integers(FieldWriter out, int field, List<Integer> values) {
    values.forEach(value -> out.within(field, new FieldWriter().number(VALUE, value)));
    return out;
  }

  static FieldWriter texts(FieldWriter out, int field, List<String> values) {
    values.forEach(value -> out.within(field, new FieldWriter().text(VALUE, value)));
    return out;
  }

  static FieldWriter versions(FieldWriter out, int field, SortedMap<Integer, Long> values) {
    values.forEach(
        (group, version) ->
            out.within(field, new FieldWriter().number(GROUP, group).number(VERSION, version)));
    return out;
  }

  static FieldWriter pairs(FieldWriter out, int field, SortedMap<String, String> values) {
    values.forEach(
        (first, second) ->
            out.within(field, new FieldWriter().text(FIRST, first).text(SECOND, second)));
    return out;
  }

  // ---- reading ----

  /**
   * Checks that one more element may be added.
   *
   * @throws MalformedMessageException if there are as many as may be
   */
  static void checkLength(int length, int max) throws MalformedMessageException {
    if (length >= max) {
      throw new MalformedMessageException("too many in a list");
    }
  }

  static void addNumber(FieldReader element, List<Long> to) throws MalformedMessageException {
    checkLength(to.size(), MAX_LENGTH);
    long value = 0;
    for (FieldReader in = element.within(); in.next(); ) {
      value = in.field() == VALUE ? in.fixed() : value;
    }
    to.add(value);
  }

  static void addInteger(FieldReader element, List<Integer> to, int max)
      throws MalformedMessageException {
    checkLength(to.size(), MAX_LENGTH);
    int value = 0;
    for (FieldReader in = element.within(); in.next(); ) {
      value = in.field() == VALUE ? (int) in.number(max) : value;
    }
    to.add(value);
  }

  static void addText(FieldReader element, List<String> to) throws MalformedMessageException {
    checkLength(to.size(), MAX_LENGTH);
    String value = "";
    for (FieldReader in = element.within(); in.next(); ) {
      value = in.field() == VALUE ? in.text(Definition.MAX_TEXT_BYTES) : value;
    }
    to.add(value);
  }

  static void addVersion(FieldReader element, SortedMap<Integer, Long> to)
      throws MalformedMessageException {
    checkLength(to.size(), MAX_LENGTH);
    int group = 0;
    long version = 0;
    for (FieldReader in = element.within(); in.next(); ) {
      switch (in.field()) {
        case GROUP -> group = (int) in.number(Definition.MAX_GROUP);
        case VERSION -> version = in.number();
        default -> {}
      }
    }
    to.put(group, version);
  }

  static void addPair(FieldReader element, SortedMap<String, String> to)
      throws MalformedMessageException {
    checkLength(to.size(), MAX_LENGTH);
    String first = "";
    String second = "";
    for (FieldReader in = element.within(); in.next(); ) {
      switch (in.field()) {
        case FIRST -> first = in.text(Definition.MAX_TEXT_BYTES);
        case SECOND -> second = in.text(Definition.MAX_TEXT_BYTES);
        default -> {}
      }
    }
    to.put(first, second);
  }

  static <T> List<T> list() {
    return new ArrayList<>();
  }

  static <K extends Comparable<K>, V> SortedMap<K, V> map() {
    return new TreeMap<>();
  }
}
