package tillerlink.operator;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Names of fleets, sites and gateways: what can stand in a message, a line of the log and a file's
 * name.
 */
final class Names {
  private static final String FORM = "[A-Za-z0-9._-]{1,64}";

  private Names() {}

  static String read(Section section, String name) {
    String given = section.text(name, null);
    if (!given.isEmpty() && !given.matches(FORM)) {
      section.faultAt(name, wrong(given));
    }
    return given;
  }

  /** Names in the order of the file, each once. */
  static List<String> list(Section section, String name, int most) {
    List<String> given = distinct(section, name, section.texts(name, true), most);
    given.stream()
        .filter(one -> !one.matches(FORM))
        .forEach(one -> section.faultAt(name, wrong(one)));
    return given;
  }

  /** The one label of a block. */
  static String label(Section section) {
    String given = section.label();
    if (!given.matches(FORM) && !given.isEmpty() && section.labels.size() == 1) {
      section.fault(wrong(given));
    }
    return given;
  }

  private static String wrong(String given) {
    return "'" + given + "' is not a name of letters, digits, '.', '-' and '_', 64 at most";
  }

  static List<String> distinct(Section section, String name, List<String> given, int most) {
    Set<String> once = new LinkedHashSet<>();
    for (String one : given) {
      if (!once.add(one)) {
        section.faultAt(name, "'" + one + "' stands twice in '" + name + "'");
      }
    }
    if (once.size() > most) {
      section.faultAt(name, "more than " + most + " in '" + name + "'");
    }
    return List.copyOf(once);
  }
}
