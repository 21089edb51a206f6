package tillerlink.messages.statements;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/** Lists and small maps as repeated fields, bounded. */
final class Lists {
  static final int MOST = 256;

  private Lists() {}

  /** Numbers as messages of one field each, so that zeros keep their place. */
  static FieldWriter numbers(FieldWriter to, int field, List<Long> values) {
    values.forEach(value -> to.within(field, new FieldWriter().fixed(1, value)));
    return to;
  }

  static FieldWriter integers(FieldWriter to, int field, List<Integer> values) {
    values.forEach(value -> to.within(field, new FieldWriter().number(1, value)));
    return to;
  }

  static FieldWriter texts(FieldWriter to, int field, List<String> values) {
    values.forEach(value -> to.within(field, new FieldWriter().text(1, value)));
    return to;
  }

  static FieldWriter versions(FieldWriter to, int field, SortedMap<Integer, Long> values) {
    values.forEach(
        (group, version) ->
            to.within(field, new FieldWriter().number(1, group).number(2, version)));
    return to;
  }

  static FieldWriter pairs(FieldWriter to, int field, SortedMap<String, String> values) {
    values.forEach((one, other) -> to.within(field, new FieldWriter().text(1, one).text(2, other)));
    return to;
  }

  /**
   * @throws MalformedMessageException if there is no room for one more
   */
  static void room(int size, int most) throws MalformedMessageException {
    if (size >= most) {
      throw new MalformedMessageException("too many in a list");
    }
  }

  static void addNumber(FieldReader from, List<Long> to) throws MalformedMessageException {
    room(to.size(), MOST);
    long value = 0;
    for (FieldReader in = from.within(); in.next(); ) {
      value = in.field() == 1 ? in.fixed() : value;
    }
    to.add(value);
  }

  static void addInteger(FieldReader from, List<Integer> to, int most)
      throws MalformedMessageException {
    room(to.size(), MOST);
    int value = 0;
    for (FieldReader in = from.within(); in.next(); ) {
      value = in.field() == 1 ? (int) in.number(most) : value;
    }
    to.add(value);
  }

  static void addText(FieldReader from, List<String> to) throws MalformedMessageException {
    room(to.size(), MOST);
    String value = "";
    for (FieldReader in = from.within(); in.next(); ) {
      value = in.field() == 1 ? in.text(Definition.TEXT_MOST) : value;
    }
    to.add(value);
  }

  static void addVersion(FieldReader from, SortedMap<Integer, Long> to)
      throws MalformedMessageException {
    room(to.size(), MOST);
    int group = 0;
    long version = 0;
    for (FieldReader in = from.within(); in.next(); ) {
      switch (in.field()) {
        case 1 -> group = (int) in.number(Definition.GROUP_MOST);
        case 2 -> version = in.number();
        default -> {}
      }
    }
    to.put(group, version);
  }

  static void addPair(FieldReader from, SortedMap<String, String> to)
      throws MalformedMessageException {
    room(to.size(), MOST);
    String one = "";
    String other = "";
    for (FieldReader in = from.within(); in.next(); ) {
      switch (in.field()) {
        case 1 -> one = in.text(Definition.TEXT_MOST);
        case 2 -> other = in.text(Definition.TEXT_MOST);
        default -> {}
      }
    }
    to.put(one, other);
  }

  static <T> List<T> list() {
    return new ArrayList<>();
  }

  static <K extends Comparable<K>, V> SortedMap<K, V> map() {
    return new TreeMap<>();
  }
}
