package tillerlink.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One block of an operator's file while it is read into records: what is asked of it is checked,
 * and what was never asked of it is unknown. Every fault is noted with its place, and reading goes
 * on with a value that will do.
 */
final class Section {
  /** A value and where it stands; lists hold plain values. One that can't be used is null. */
  record Value(Object value, int line, int column) {}

  final String type;
  final List<String> labels;
  private final int line;
  private final int column;
  private final Map<String, Value> values = new LinkedHashMap<>();
  private final List<Section> sections = new ArrayList<>();
  private final Set<String> asked = new LinkedHashSet<>();
  private final Set<String> blocksAsked = new LinkedHashSet<>();
  private final List<Fault> faults;

  Section(String type, List<String> labels, int line, int column, List<Fault> faults) {
    this.type = type;
    this.labels = labels;
    this.line = line;
    this.column = column;
    this.faults = faults;
  }

  void put(String name, Value value) {
    if (values.putIfAbsent(name, value) != null) {
      faults.add(new Fault(value.line, value.column, "'" + name + "' stands twice in " + this));
    }
  }

  void add(Section section) {
    sections.add(section);
  }

  @Override
  public String toString() {
    return type.isEmpty()
        ? "the file"
        : type + (labels.isEmpty() ? "" : " \"" + String.join("\" \"", labels) + "\"");
  }

  void fault(String what) {
    faults.add(new Fault(line, column, what));
  }

  private void fault(Value at, String what) {
    faults.add(new Fault(at.line, at.column, what));
  }

  /** A value that could not be read was told of when it was. */
  private void faultUnlessTold(Value at, String what) {
    if (at.value != null) {
      fault(at, what);
    }
  }

  // ---- what is asked of it ----

  /** The one label that a block of this type bears. */
  String label() {
    if (labels.size() != 1 || labels.get(0).isEmpty()) {
      fault(type + " wants one name in quotes");
      return labels.isEmpty() ? "?" : labels.get(0);
    }
    return labels.get(0);
  }

  boolean has(String name) {
    return values.containsKey(name);
  }

  private Value take(String name, boolean wanted) {
    asked.add(name);
    Value value = values.get(name);
    if (value == null && wanted) {
      fault("'" + name + "' is missing in " + this);
    }
    return value;
  }

  /**
   * @param otherwise what holds where nothing stands; NaN if something must
   */
  double number(String name, double least, double most, double otherwise) {
    Value value = take(name, Double.isNaN(otherwise));
    if (value == null) {
      return Double.isNaN(otherwise) ? least : otherwise;
    }
    if (!(value.value instanceof Number number)) {
      faultUnlessTold(value, "'" + name + "' is not a number");
      return least;
    }
    double given = number.doubleValue();
    if (!(given >= least && given <= most)) {
      fault(
          value,
          "'"
              + name
              + "' is "
              + plain(given)
              + ", not within "
              + plain(least)
              + " and "
              + plain(most));
      return least;
    }
    return given;
  }

  long whole(String name, long least, long most, long otherwise) {
    double given = number(name, least, most, otherwise);
    if (given != Math.rint(given)) {
      fault(values.get(name), "'" + name + "' is not a whole number");
    }
    return (long) given;
  }

  private static String plain(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e15
        ? Long.toString((long) number)
        : Double.toString(number);
  }

  /**
   * @param otherwise what holds where nothing stands; null if something must
   */
  String text(String name, String otherwise) {
    Value value = take(name, otherwise == null);
    return value == null ? otherwise == null ? "" : otherwise : text(name, value);
  }

  /** Null where nothing stands. */
  String textOrNull(String name) {
    Value value = take(name, false);
    return value == null ? null : text(name, value);
  }

  private String text(String name, Value value) {
    if (value.value instanceof String text && !text.isEmpty()) {
      return text;
    }
    faultUnlessTold(value, "'" + name + "' is not a text in quotes");
    return "";
  }

  <E extends Enum<E>> E choice(String name, E otherwise, Class<E> of) {
    Value value = take(name, otherwise == null);
    String given = value != null && value.value instanceof String text ? text : null;
    for (E one : of.getEnumConstants()) {
      if (one.name().equalsIgnoreCase(given)) {
        return one;
      }
    }
    if (value != null && value.value != null) {
      StringBuilder all = new StringBuilder();
      for (E one : of.getEnumConstants()) {
        all.append(all.length() == 0 ? "" : ", ")
            .append(one.name().toLowerCase(java.util.Locale.ROOT));
      }
      fault(value, "'" + name + "' is none of " + all);
    }
    return otherwise == null ? of.getEnumConstants()[0] : otherwise;
  }

  boolean flag(String name, boolean otherwise) {
    Value value = take(name, false);
    if (value == null) {
      return otherwise;
    }
    if (!(value.value instanceof Boolean flag)) {
      faultUnlessTold(value, "'" + name + "' is neither true nor false");
      return otherwise;
    }
    return flag;
  }

  /** A list of texts; empty where nothing stands. */
  List<String> texts(String name, boolean wanted) {
    Value value = take(name, wanted);
    if (value == null) {
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    if (value.value instanceof List<?> list) {
      list.forEach(one -> texts.add(one instanceof String text ? text : null));
    }
    if (wanted && value.value instanceof List && texts.isEmpty()) {
      fault(value, "'" + name + "' is empty");
    } else if (!(value.value instanceof List) || texts.contains(null)) {
      faultUnlessTold(value, "'" + name + "' is not a list of texts in quotes");
      return List.of();
    }
    return texts;
  }

  /** A fault at the place of a value that was asked for. */
  void faultAt(String name, String what) {
    Value value = values.get(name);
    if (value == null) {
      fault(what);
    } else {
      fault(value, what);
    }
  }

  /** All blocks of a type. */
  List<Section> all(String of) {
    blocksAsked.add(of);
    return sections.stream().filter(section -> section.type.equals(of)).toList();
  }

  /** The one block of a type, or null. */
  Section one(String of) {
    List<Section> found = all(of);
    if (found.size() > 1) {
      found.get(1).fault("a second " + of + " in " + this);
    }
    return found.isEmpty() ? null : found.get(0);
  }

  /**
   * All that could be asked for has been: the rest is unknown. Blocks in it are closed by whoever
   * read them.
   */
  void close() {
    values.forEach(
        (name, value) -> {
          if (!asked.contains(name)) {
            fault(value, "'" + name + "' is not known in " + this);
          }
        });
    for (Section section : sections) {
      if (!blocksAsked.contains(section.type)) {
        section.fault("a block '" + section.type + "' is not known in " + this);
      }
    }
  }
}
