package tillerlink.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * One block of an operator's file while it is read into records. Values are checked when they are
 * read, and keys that were never read are unknown. Every error is recorded with its place, and
 * reading goes on with a valid value.
 */
final class Section {
  /** A value and its place; lists hold literals. An unreadable value is null. */
  record Value(Object value, int line, int column) {}

  private final String type;
  private final List<String> labels;
  private final int line;
  private final int column;
  private final Map<String, Value> values = new LinkedHashMap<>();
  private final List<Section> sections = new ArrayList<>();
  private final Set<String> keysRead = new LinkedHashSet<>();
  private final Set<String> blocksRead = new LinkedHashSet<>();
  private final List<ConfigError> faults;

  Section(String type, List<String> labels, int line, int column, List<ConfigError> faults) {
    this.type = type;
    this.labels = labels;
    this.line = line;
    this.column = column;
    this.faults = faults;
  }

  void put(String name, Value value) {
    if (values.putIfAbsent(name, value) != null) {
      faults.add(
          new ConfigError(value.line, value.column, "'" + name + "' stands twice in " + this));
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
    faults.add(new ConfigError(line, column, what));
  }

  private void fault(Value at, String what) {
    faults.add(new ConfigError(at.line, at.column, what));
  }

  /** Records an error, unless one was recorded when the value turned out to be unreadable. */
  private void faultUnlessUnreadable(Value at, String what) {
    if (at.value != null) {
      fault(at, what);
    }
  }

  // ---- reading ----

  /** An empty block, in which every key has its default. */
  private Section emptyBlock(String blockType) {
    return new Section(blockType, List.of(), line, column, faults);
  }

  /** Whether the block has exactly one label. */
  boolean hasOneLabel() {
    return labels.size() == 1;
  }

  /** The one label of a block of this type. */
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

  private Value take(String name, boolean required) {
    keysRead.add(name);
    Value value = values.get(name);
    if (value == null && required) {
      fault("'" + name + "' is missing in " + this);
    }
    return value;
  }

  /**
   * Reads a number.
   *
   * @param otherwise the default; NaN if the key is required
   */
  double number(String name, double min, double max, double otherwise) {
    Value value = take(name, Double.isNaN(otherwise));
    if (value == null) {
      return Double.isNaN(otherwise) ? min : otherwise;
    }
    if (!(value.value instanceof Number number)) {
      faultUnlessUnreadable(value, "'" + name + "' is not a number");
      return min;
    }
    double given = number.doubleValue();
    if (!(given >= min && given <= max)) {
      fault(
          value,
          "'"
              + name
              + "' is "
              + plain(given)
              + ", not within "
              + plain(min)
              + " and "
              + plain(max));
      return min;
    }
    return given;
  }

  long whole(String name, long min, long max, long otherwise) {
    double given = number(name, (double) min, (double) max, (double) otherwise);
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
   * Reads a text.
   *
   * @param otherwise the default; null if the key is required
   */
  String text(String name, String otherwise) {
    Value value = take(name, otherwise == null);
    if (value == null) {
      return otherwise == null ? "" : otherwise;
    }
    return text(name, value);
  }

  /** Reads a text; null if the key is absent. */
  String textOrNull(String name) {
    Value value = take(name, false);
    return value == null ? null : text(name, value);
  }

  private String text(String name, Value value) {
    if (value.value instanceof String text && !text.isEmpty()) {
      return text;
    }
    faultUnlessUnreadable(value, "'" + name + "' is not a text in quotes");
    return "";
  }

  /**
   * Reads one of the constants of an enum, by its name in any case.
   *
   * @param otherwise the default; null if the key is required
   */
  <E extends Enum<E>> E choice(String name, E otherwise, Class<E> type) {
    Value value = take(name, otherwise == null);
    String given = value != null && value.value instanceof String text ? text : null;
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equalsIgnoreCase(given)) {
        return constant;
      }
    }
    if (value != null && value.value != null) {
      StringBuilder all = new StringBuilder();
      for (E constant : type.getEnumConstants()) {
        all.append(all.length() == 0 ? "" : ", ").append(constant.name().toLowerCase(Locale.ROOT));
      }
      fault(value, "'" + name + "' is none of " + all);
    }
    return otherwise == null ? type.getEnumConstants()[0] : otherwise;
  }

  boolean flag(String name, boolean otherwise) {
    Value value = take(name, false);
    if (value == null) {
      return otherwise;
    }
    if (!(value.value instanceof Boolean flag)) {
      faultUnlessUnreadable(value, "'" + name + "' is neither true nor false");
      return otherwise;
    }
    return flag;
  }

  /** Reads a list of texts; empty if the key is absent. */
  List<String> texts(String name, boolean required) {
    Value value = take(name, required);
    if (value == null) {
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    if (value.value instanceof List<?> list) {
      list.forEach(one -> texts.add(one instanceof String text ? text : null));
    }
    if (required && value.value instanceof List && texts.isEmpty()) {
      fault(value, "'" + name + "' is empty");
    } else if (!(value.value instanceof List) || texts.contains(null)) {
      faultUnlessUnreadable(value, "'" + name + "' is not a list of texts in quotes");
      return List.of();
    }
    return texts;
  }

  /** Records an error at the place of a value that was read. */
  void faultAt(String name, String what) {
    Value value = values.get(name);
    if (value == null) {
      fault(what);
    } else {
      fault(value, what);
    }
  }

  /** All blocks of a type. */
  List<Section> all(String blockType) {
    blocksRead.add(blockType);
    return sections.stream().filter(section -> section.type.equals(blockType)).toList();
  }

  /** The one block of a type, or null. */
  Section one(String blockType) {
    List<Section> found = all(blockType);
    if (found.size() > 1) {
      found.get(1).fault("a second " + blockType + " in " + this);
    }
    return found.isEmpty() ? null : found.get(0);
  }

  /** The one block of a type, or an empty one in its place. */
  Section oneOrEmpty(String blockType) {
    Section found = one(blockType);
    return found == null ? emptyBlock(blockType) : found;
  }

  /**
   * Ends reading: keys and blocks that were not read are unknown. Each block in it is closed by its
   * own reader.
   */
  void close() {
    values.forEach(
        (name, value) -> {
          if (!keysRead.contains(name)) {
            fault(value, "'" + name + "' is not known in " + this);
          }
        });
    for (Section section : sections) {
      if (!blocksRead.contains(section.type)) {
        section.fault("a block '" + section.type + "' is not known in " + this);
      }
    }
  }
}
