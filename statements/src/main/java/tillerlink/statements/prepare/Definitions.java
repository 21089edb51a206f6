package tillerlink.statements.prepare;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/** Checks what clients ask to be prepared or announced, before it goes into the log. */
public final class Definitions {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]*");
  private static final Pattern USE = Pattern.compile("([1-9][0-9]{0,8}):[A-Za-z0-9_.]{1,64}");

  private Definitions() {}

  /**
   * Checks a definition of a statement.
   *
   * @throws IllegalArgumentException if it can't be used; the message names what, for people
   */
  public static void check(Definition definition) {
    checkName("name", definition.name());
    checkName("track", definition.requestClass());
    if (definition.text().isBlank()
        || definition.text().getBytes(StandardCharsets.UTF_8).length > Definition.TEXT_MOST) {
      throw new IllegalArgumentException("text: 1 to " + Definition.TEXT_MOST + " bytes");
    }
    if (definition.parameters().size() > Definition.PARAMETERS_MOST) {
      throw new IllegalArgumentException("parameters: no more than " + Definition.PARAMETERS_MOST);
    }
    checkGroups(definition.groups());
    checkUses("uses", definition.uses(), Definition.USES_MOST, definition.groups());
    Template.of(definition);
  }

  /**
   * Checks a change of a schema.
   *
   * @throws IllegalArgumentException if it can't be used; the message names what, for people
   */
  public static void check(Change change) {
    checkGroups(change.groups());
    checkUses("removed", change.removed(), Change.NAMES_MOST, change.groups());
    checkUses("altered", change.altered(), Change.NAMES_MOST, change.groups());
    checkUses(
        "renamed", List.copyOf(change.renamed().keySet()), Change.NAMES_MOST, change.groups());
    checkUses(
        "renamed", List.copyOf(change.renamed().values()), Change.NAMES_MOST, change.groups());
  }

  private static void checkName(String what, String name) {
    if (name.length() > Definition.NAME_MOST || !NAME.matcher(name).matches()) {
      throw new IllegalArgumentException(
          what
              + ": 1 to "
              + Definition.NAME_MOST
              + " letters, digits, points, dashes and underscores");
    }
  }

  private static void checkGroups(List<Integer> groups) {
    if (groups.isEmpty()
        || groups.size() > Definition.GROUPS_MOST
        || groups.stream().anyMatch(group -> group < 1 || group > Definition.GROUP_MOST)) {
      throw new IllegalArgumentException(
          "groups: 1 to " + Definition.GROUPS_MOST + " numbers from 1 to " + Definition.GROUP_MOST);
    }
  }

  private static void checkUses(String what, List<String> names, int most, List<Integer> groups) {
    if (names.size() > most) {
      throw new IllegalArgumentException(what + ": no more than " + most);
    }
    for (String name : names) {
      boolean fits =
          USE.matcher(name).matches()
              && groups.contains(Integer.parseInt(name.substring(0, name.indexOf(':'))));
      if (!fits) {
        throw new IllegalArgumentException(
            what + ": names as 17:orders.city, of a group that is named");
      }
    }
  }
}
