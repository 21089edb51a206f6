package tillerlink.messages.statements;

import java.util.List;

/**
 * A prepared statement as the client defines it.
 *
 * @param name the statement's name
 * @param text with its parameters as $1, $2 and so on
 * @param parameters their types, in that order
 * @param groups the table groups that it reads or writes, ascending
 * @param uses names within those groups that it depends on, as 17:orders.city
 * @param requestClass the request class that its runs belong to
 * @param effect what running it a second time would do
 */
public record Definition(
    String name,
    String text,
    List<ParameterType> parameters,
    List<Integer> groups,
    List<String> uses,
    String requestClass,
    RunEffect effect) {
  /** Bytes of UTF-8 of a name at the most. */
  public static final int MAX_NAME_BYTES = 64;

  /** Bytes of UTF-8 of a text at the most. */
  public static final int MAX_TEXT_BYTES = 4096;

  /** Parameters at the most. */
  public static final int MAX_PARAMETERS = 32;

  /** Table groups at the most. */
  public static final int MAX_GROUPS = 8;

  /** Names that a statement depends on, at the most. */
  public static final int MAX_USES = 48;

  /** The highest number of a table group. */
  public static final int MAX_GROUP = 999_999_999;

  /** Sorts the groups, and copies all lists. */
  public Definition {
    parameters = List.copyOf(parameters);
    groups = groups.stream().sorted().distinct().toList();
    uses = List.copyOf(uses);
  }

  /** Returns this definition with another text and other names that it depends on. */
  public Definition withText(String otherText, List<String> otherUses) {
    return new Definition(name, otherText, parameters, groups, otherUses, requestClass, effect);
  }
}
