package tillerlink.operator;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Validation of the names of fleets, sites and gateways. The set of characters is restricted
 * because these names appear in messages, log lines and file names.
 */
final class NameRules {
  private static final String PATTERN = "[A-Za-z0-9._-]{1,64}";

  private NameRules() {}

  /**
   * Reads a required name and records an error if it is invalid.
   *
   * @return the name as written, or an empty string if it is missing
   */
  static String read(Section section, String name) {
    String given = section.string(name, null);
    if (!given.isEmpty() && !given.matches(PATTERN)) {
      section.errorAt(name, invalidName(given));
    }
    return given;
  }

  /**
   * Reads a required list of unique names and records an error for each invalid one.
   *
   * @param limit the maximum number of names
   * @return the unique names in the order of the file
   */
  static List<String> readList(Section section, String name, int limit) {
    List<String> given = distinct(section, name, section.strings(name, true), limit);
    given.stream()
        .filter(element -> !element.matches(PATTERN))
        .forEach(element -> section.errorAt(name, invalidName(element)));
    return given;
  }

  /**
   * Returns the label of a block, which must be a valid name.
   *
   * @return the first label after an error, or "?" if there is none
   */
  static String readLabel(Section section) {
    String given = section.label();
    if (!given.matches(PATTERN) && !given.isEmpty() && section.hasOneLabel()) {
      section.error(invalidName(given));
    }
    return given;
  }

  private static String invalidName(String given) {
    return "invalid name '" + given + "': expected 1 to 64 letters, digits, '.', '-' or '_'";
  }

  /**
   * Removes duplicates from a list, and records errors for duplicates and for too many elements.
   *
   * @param limit the maximum number of unique elements
   */
  static List<String> distinct(Section section, String name, List<String> given, int limit) {
    Set<String> unique = new LinkedHashSet<>();
    for (String element : given) {
      if (!unique.add(element)) {
        section.errorAt(name, "duplicate '" + element + "' in '" + name + "'");
      }
    }
    if (unique.size() > limit) {
      section.errorAt(
          name,
          "'" + name + "' has " + unique.size() + " unique elements, expected at most " + limit);
    }
    return List.copyOf(unique);
  }
}
