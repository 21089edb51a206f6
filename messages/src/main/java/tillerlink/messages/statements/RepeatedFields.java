package tillerlink.messages.statements;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Encodes and decodes lists and small maps as repeated fields. Each element is a nested message, so
 * that zeros and empty texts, which are omitted as plain fields, keep their position.
 */
final class RepeatedFields {
  /** The maximum number of elements of a list or map; a longer one is malformed. */
  static final int MAX_LENGTH = 256;

  private static final int VALUE = 1;

  private static final int GROUP = 1;
  private static final int VERSION = 2;

  private static final int OLD_NAME = 1;
  private static final int NEW_NAME = 2;

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
        (oldName, newName) ->
            out.within(field, new FieldWriter().text(OLD_NAME, oldName).text(NEW_NAME, newName)));
    return out;
  }

  // ---- reading ----

  /**
   * Checks that one more element may be added to a list or map.
   *
   * @param length the current number of elements
   * @param max the maximum number of elements
   * @throws MalformedMessageException if the list or map already has {@code max} elements
   */
  static void checkLength(int length, int max) throws MalformedMessageException {
    if (length >= max) {
      throw new MalformedMessageException("list or map has more than " + max + " elements");
    }
  }

  static void addNumber(FieldReader element, List<Long> target) throws MalformedMessageException {
    checkLength(target.size(), MAX_LENGTH);
    long value = 0;
    for (FieldReader in = element.within(); in.next(); ) {
      value = in.field() == VALUE ? in.fixed() : value;
    }
    target.add(value);
  }

  static void addInteger(FieldReader element, List<Integer> target, int max)
      throws MalformedMessageException {
    checkLength(target.size(), MAX_LENGTH);
    int value = 0;
    for (FieldReader in = element.within(); in.next(); ) {
      value = in.field() == VALUE ? (int) in.number(max) : value;
    }
    target.add(value);
  }

  static void addText(FieldReader element, List<String> target) throws MalformedMessageException {
    checkLength(target.size(), MAX_LENGTH);
    String value = "";
    for (FieldReader in = element.within(); in.next(); ) {
      value = in.field() == VALUE ? in.text(Definition.MAX_TEXT_BYTES) : value;
    }
    target.add(value);
  }

  static void addVersion(FieldReader element, SortedMap<Integer, Long> target)
      throws MalformedMessageException {
    checkLength(target.size(), MAX_LENGTH);
    int group = 0;
    long version = 0;
    for (FieldReader in = element.within(); in.next(); ) {
      switch (in.field()) {
        case GROUP -> group = (int) in.number(Definition.MAX_GROUP);
        case VERSION -> version = in.number();
        default -> {}
      }
    }
    target.put(group, version);
  }

  static void addPair(FieldReader element, SortedMap<String, String> target)
      throws MalformedMessageException {
    checkLength(target.size(), MAX_LENGTH);
    String oldName = "";
    String newName = "";
    for (FieldReader in = element.within(); in.next(); ) {
      switch (in.field()) {
        case OLD_NAME -> oldName = in.text(Definition.MAX_TEXT_BYTES);
        case NEW_NAME -> newName = in.text(Definition.MAX_TEXT_BYTES);
        default -> {}
      }
    }
    target.put(oldName, newName);
  }

  static <T> List<T> list() {
    return new ArrayList<>();
  }

  static <K extends Comparable<K>, V> SortedMap<K, V> map() {
    return new TreeMap<>();
  }
}
