package tillerlink.messages.statements;

import java.util.List;

/**
 * What a client prepares under a name.
 *
 * @param text with its parameters as $1, $2 and so on
 * @param parameters their types, in that order
 * @param groups the table groups that it touches, rising
 * @param uses names of those groups that it relies on, as 17:orders.city
 * @param requestClass the request class that its runs are of
 */
public record Definition(
    String name,
    String text,
    List<ParameterType> parameters,
    List<Integer> groups,
    List<String> uses,
    String requestClass,
    RunEffect effect) {
  public static final int NAME_MOST = 64;

  /** Bytes of UTF-8. */
  public static final int TEXT_MOST = 4096;

  public static final int PARAMETERS_MOST = 32;
  public static final int GROUPS_MOST = 8;
  public static final int USES_MOST = 48;
  public static final int GROUP_MOST = 999_999_999;

  public Definition {
    parameters = List.copyOf(parameters);
    groups = groups.stream().sorted().distinct().toList();
    uses = List.copyOf(uses);
  }

  public Definition withText(String other, List<String> otherUses) {
    return new Definition(name, other, parameters, groups, otherUses, requestClass, effect);
  }
}
