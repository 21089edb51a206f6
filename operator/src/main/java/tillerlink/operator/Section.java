package tillerlink.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A block of an operator's file that is being read into records. Values are validated when they are
 * read, and attributes and blocks that were never read are unknown. Every error is recorded with
 * its position, and reading continues with a valid value, so that one run reports all errors.
 */
final class Section {
  /**
   * A value and its position.
   *
   * @param value a string, a number, a boolean or a list of these; null if the value is not a
   *     literal
   * @param line the line of the attribute, counted from 1
   * @param column the column of the attribute, counted from 1
   */
  record Value(Object value, int line, int column) {}

  private final String type;
  private final List<String> labels;
  private final int line;
  private final int column;
  private final Map<String, Value> values = new LinkedHashMap<>();
  private final List<Section> sections = new ArrayList<>();
  private final Set<String> attributesRead = new LinkedHashSet<>();
  private final Set<String> blocksRead = new LinkedHashSet<>();
  private final List<ConfigError> errors;

  /**
   * Creates an empty block.
   *
   * @param type the type of the block; empty for the file itself
   * @param labels the quoted labels after the type
   * @param line the line of the block, counted from 1
   * @param column the column of the block, counted from 1
   * @param errors receives the errors
   */
  Section(String type, List<String> labels, int line, int column, List<ConfigError> errors) {
    this.type = type;
    this.labels = labels;
    this.line = line;
    this.column = column;
    this.errors = errors;
  }

  /** Adds an attribute and records an error if the block has it already. */
  void put(String name, Value value) {
    if (values.putIfAbsent(name, value) != null) {
      errors.add(new ConfigError(value.line, value.column, "duplicate '" + name + "' in " + this));
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

  /** Records an error at the position of the block. */
  void error(String message) {
    errors.add(new ConfigError(line, column, message));
  }

  private void error(Value at, String message) {
    errors.add(new ConfigError(at.line, at.column, message));
  }

  /** Records an error if the value is a literal; otherwise an error is recorded already. */
  private void errorIfLiteral(Value at, String message) {
    if (at.value != null) {
      error(at, message);
    }
  }

  /** Returns an empty block, in which every attribute has its default. */
  private Section emptyBlock(String blockType) {
    return new Section(blockType, List.of(), line, column, errors);
  }

  boolean hasOneLabel() {
    return labels.size() == 1;
  }

  /**
   * Returns the label of a block that must have exactly one, and records an error otherwise.
   *
   * @return the first label after an error, or "?" if there is none
   */
  String label() {
    if (labels.size() != 1 || labels.get(0).isEmpty()) {
      error(type + " requires exactly one non-empty quoted label");
      return labels.isEmpty() ? "?" : labels.get(0);
    }
    return labels.get(0);
  }

  boolean has(String name) {
    return values.containsKey(name);
  }

  /**
   * Returns a value and marks it as read. Records an error if a required attribute is absent.
   *
   * @return null if the attribute is absent
   */
  private Value find(String name, boolean required) {
    attributesRead.add(name);
    Value value = values.get(name);
    if (value == null && required) {
      error("'" + name + "' is missing in " + this);
    }
    return value;
  }

  /**
   * Reads a number.
   *
   * @param min the smallest valid number
   * @param max the largest valid number
   * @param defaultValue the default; NaN if the attribute is required
   * @return {@code min} after an error
   */
  double number(String name, double min, double max, double defaultValue) {
    Value value = find(name, Double.isNaN(defaultValue));
    if (value == null) {
      return Double.isNaN(defaultValue) ? min : defaultValue;
    }
    if (!(value.value instanceof Number number)) {
      errorIfLiteral(value, "'" + name + "' is '" + value.value + "', expected a number");
      return min;
    }
    double given = number.doubleValue();
    if (!(given >= min && given <= max)) {
      error(
          value,
          "'" + name + "' is " + plain(given) + ", expected " + plain(min) + " to " + plain(max));
      return min;
    }
    return given;
  }

  /**
   * Reads an integer; see {@link #number}.
   *
   * @param defaultValue the default
   */
  long integer(String name, long min, long max, long defaultValue) {
    double given = number(name, (double) min, (double) max, (double) defaultValue);
    if (given != Math.rint(given)) {
      error(values.get(name), "'" + name + "' is " + plain(given) + ", expected an integer");
    }
    return (long) given;
  }

  /** Formats a number, without a fraction if it is an integer. */
  private static String plain(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e15
        ? Long.toString((long) number)
        : Double.toString(number);
  }

  /**
   * Reads a non-empty string.
   *
   * @param defaultValue the default; null if the attribute is required
   * @return an empty string after an error
   */
  String string(String name, String defaultValue) {
    Value value = find(name, defaultValue == null);
    if (value == null) {
      return defaultValue == null ? "" : defaultValue;
    }
    return string(name, value);
  }

  /**
   * Reads an optional non-empty string.
   *
   * @return null if the attribute is absent; an empty string after an error
   */
  String stringOrNull(String name) {
    Value value = find(name, false);
    return value == null ? null : string(name, value);
  }

  private String string(String name, Value value) {
    if (value.value instanceof String text && !text.isEmpty()) {
      return text;
    }
    errorIfLiteral(
        value, "'" + name + "' is '" + value.value + "', expected a non-empty quoted string");
    return "";
  }

  /**
   * Reads a constant of an enum by its name; case is ignored.
   *
   * @param defaultValue the default; null if the attribute is required
   * @return the default after an error, or the first constant if there is no default
   */
  <E extends Enum<E>> E choice(String name, E defaultValue, Class<E> type) {
    Value value = find(name, defaultValue == null);
    String given = value != null && value.value instanceof String text ? text : null;
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equalsIgnoreCase(given)) {
        return constant;
      }
    }
    if (value != null && value.value != null) {
      StringBuilder names = new StringBuilder();
      for (E constant : type.getEnumConstants()) {
        names
            .append(names.length() == 0 ? "" : ", ")
            .append(constant.name().toLowerCase(Locale.ROOT));
      }
      error(value, "'" + name + "' is '" + value.value + "', expected one of " + names);
    }
    return defaultValue == null ? type.getEnumConstants()[0] : defaultValue;
  }

  /**
   * Reads an optional boolean.
   *
   * @param defaultValue the default, which is also returned after an error
   */
  boolean flag(String name, boolean defaultValue) {
    Value value = find(name, false);
    if (value == null) {
      return defaultValue;
    }
    if (!(value.value instanceof Boolean flag)) {
      errorIfLiteral(value, "'" + name + "' is '" + value.value + "', expected true or false");
      return defaultValue;
    }
    return flag;
  }

  /**
   * Reads a list of strings.
   *
   * @param required whether an absent attribute and an empty list are errors
   * @return an empty list if the attribute is absent, and after an error
   */
  List<String> strings(String name, boolean required) {
    Value value = find(name, required);
    if (value == null) {
      return List.of();
    }
    List<String> strings = new ArrayList<>();
    if (value.value instanceof List<?> list) {
      list.forEach(element -> strings.add(element instanceof String string ? string : null));
    }
    if (required && value.value instanceof List && strings.isEmpty()) {
      error(value, "'" + name + "' is empty");
    } else if (!(value.value instanceof List) || strings.contains(null)) {
      errorIfLiteral(value, "'" + name + "' is not a list of quoted strings");
      return List.of();
    }
    return strings;
  }

  /** Records an error at the position of an attribute, or of the block if it is absent. */
  void errorAt(String name, String message) {
    Value value = values.get(name);
    if (value == null) {
      error(message);
    } else {
      error(value, message);
    }
  }

  /** Returns all blocks of a type, in the order of the file. */
  List<Section> blocks(String blockType) {
    blocksRead.add(blockType);
    return sections.stream().filter(section -> section.type.equals(blockType)).toList();
  }

  /**
   * Returns the block of a type and records an error if there are several.
   *
   * @return the first block, or null if there is none
   */
  Section block(String blockType) {
    List<Section> found = blocks(blockType);
    if (found.size() > 1) {
      found.get(1).error("duplicate block '" + blockType + "' in " + this);
    }
    return found.isEmpty() ? null : found.get(0);
  }

  /** Returns the block of a type, or an empty one if there is none; see {@link #block}. */
  Section blockOrEmpty(String blockType) {
    Section found = block(blockType);
    return found == null ? emptyBlock(blockType) : found;
  }

  /**
   * Records an error for each attribute and block that was not read. Nested blocks are checked by
   * their own readers.
   */
  void reportUnknown() {
    values.forEach(
        (name, value) -> {
          if (!attributesRead.contains(name)) {
            error(value, "unknown attribute '" + name + "' in " + this);
          }
        });
    for (Section section : sections) {
      if (!blocksRead.contains(section.type)) {
        section.error("unknown block '" + section.type + "' in " + this);
      }
    }
  }
}
