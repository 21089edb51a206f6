package tillerlink.operator;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The rules for names of fleets, sites and gateways, which appear in messages, log lines and file
 * names.
 */
final class NameRules {
  private static final String FORM = "[A-Za-z0-9._-]{1,64}";

  private NameRules() {}

  static String read(Section section, String name) {
    String given = section.text(name, null);
    if (!given.isEmpty() && !given.matches(FORM)) {
      section.faultAt(name, invalid(given));
    }
    return given;
  }

  /** Names in the order of the file, each unique. */
  static List<String> list(Section section, String name, int limit) {
    List<String> given = distinct(section, name, section.texts(name, true), limit);
    given.stream()
        .filter(element -> !element.matches(FORM))
        .forEach(element -> section.faultAt(name, invalid(element)));
    return given;
  }

  /** The one label of a block. */
  static String label(Section section) {
    String given = section.label();
    if (!given.matches(FORM) && !given.isEmpty() && section.hasOneLabel()) {
      section.fault(invalid(given));
    }
    return given;
  }

  private static String invalid(String given) {
    return "'" + given + "' is not a name of letters, digits, '.', '-' and '_', 64 at most";
  }

  static List<String> distinct(Section section, String name, List<String> given, int limit) {
    Set<String> unique = new LinkedHashSet<>();
    for (String element : given) {
      if (!unique.add(element)) {
        section.faultAt(name, "'" + element + "' stands twice in '" + name + "'");
      }
    }
    if (unique.size() > limit) {
      section.faultAt(name, "more than " + limit + " in '" + name + "'");
    }
    return List.copyOf(unique);
  }
}
