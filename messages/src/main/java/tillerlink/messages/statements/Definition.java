package tillerlink.messages.statements;

import java.util.List;

/**
 * The definition of a prepared statement by its client.
 *
 * @param name the statement's name
 * @param text the statement's text, with its parameters written as $1, $2 and so on
 * @param parameters the types of the parameters, in the order of their numbers
 * @param groups the table groups that the statement reads or writes, ascending
 * @param uses the names within those groups that it depends on, each written as the group's number
 *     and the name: 17:orders.city
 * @param requestClass the request class of its executions
 * @param effect the effect of executing it a second time
 */
public record Definition(
    String name,
    String text,
    List<ParameterType> parameters,
    List<Integer> groups,
    List<String> uses,
    String requestClass,
    RunEffect effect) {
  /** The maximum length of a name, in bytes of UTF-8. */
  public static final int MAX_NAME_BYTES = 64;

  /** The maximum length of a text, in bytes of UTF-8. */
  public static final int MAX_TEXT_BYTES = 4096;

  /** The maximum number of parameters. */
  public static final int MAX_PARAMETERS = 32;

  /** The maximum number of table groups. */
  public static final int MAX_GROUPS = 8;

  /** The maximum number of names that a statement depends on. */
  public static final int MAX_USES = 48;

  /** The highest number of a table group. */
  public static final int MAX_GROUP = 999_999_999;

  /** Creates a definition with sorted, distinct groups and copies of all lists. */
  public Definition {
    parameters = List.copyOf(parameters);
    groups = groups.stream().sorted().distinct().toList();
    uses = List.copyOf(uses);
  }

  /** Returns a copy of this definition with another text and other names that it depends on. */
  public Definition withText(String otherText, List<String> otherUses) {
    return new Definition(name, otherText, parameters, groups, otherUses, requestClass, effect);
  }
}
