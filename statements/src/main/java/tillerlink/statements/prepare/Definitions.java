package tillerlink.statements.prepare;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/** A validator for clients' definitions and changes, used before they are appended to the log. */
public final class Definitions {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]*");
  private static final Pattern QUALIFIED_NAME =
      Pattern.compile("([1-9][0-9]{0,8}):[A-Za-z0-9_.]{1,64}");

  private Definitions() {}

  /**
   * Validates the definition of a statement.
   *
   * @throws IllegalArgumentException if the definition is invalid; the message describes the
   *     problem and is sent to the client
   */
  public static void check(Definition definition) {
    checkName("name", definition.name());
    checkName("track", definition.requestClass());
    if (definition.text().isBlank()
        || definition.text().getBytes(StandardCharsets.UTF_8).length > Definition.MAX_TEXT_BYTES) {
      throw new IllegalArgumentException("text: 1 to " + Definition.MAX_TEXT_BYTES + " bytes");
    }
    if (definition.parameters().size() > Definition.MAX_PARAMETERS) {
      throw new IllegalArgumentException("parameters: no more than " + Definition.MAX_PARAMETERS);
    }
    checkGroups(definition.groups());
    checkUses("uses", definition.uses(), Definition.MAX_USES, definition.groups());
    Template.of(definition);
  }

  /**
   * Validates a change of a schema.
   *
   * @throws IllegalArgumentException if the change is invalid; the message starts with the name of
   *     the field and is sent to the client
   */
  public static void check(Change change) {
    checkGroups(change.groups());
    checkUses("removed", change.removed(), Change.MAX_NAMES, change.groups());
    checkUses("altered", change.altered(), Change.MAX_NAMES, change.groups());
    checkUses("renamed", List.copyOf(change.renamed().keySet()), Change.MAX_NAMES, change.groups());
    checkUses("renamed", List.copyOf(change.renamed().values()), Change.MAX_NAMES, change.groups());
  }

  private static void checkName(String field, String name) {
    if (name.length() > Definition.MAX_NAME_BYTES || !NAME.matcher(name).matches()) {
      throw new IllegalArgumentException(
          field
              + ": 1 to "
              + Definition.MAX_NAME_BYTES
              + " letters, digits, points, dashes and underscores");
    }
  }

  private static void checkGroups(List<Integer> groups) {
    if (groups.isEmpty()
        || groups.size() > Definition.MAX_GROUPS
        || groups.stream().anyMatch(group -> group < 1 || group > Definition.MAX_GROUP)) {
      throw new IllegalArgumentException(
          "groups: 1 to " + Definition.MAX_GROUPS + " numbers from 1 to " + Definition.MAX_GROUP);
    }
  }

  private static void checkUses(String field, List<String> names, int max, List<Integer> groups) {
    if (names.size() > max) {
      throw new IllegalArgumentException(field + ": no more than " + max);
    }
    for (String name : names) {
      boolean valid =
          QUALIFIED_NAME.matcher(name).matches()
              && groups.contains(Integer.parseInt(name.substring(0, name.indexOf(':'))));
      if (!valid) {
        throw new IllegalArgumentException(
            field + ": names as 17:orders.city, of a group that is named");
      }
    }
  }
}
