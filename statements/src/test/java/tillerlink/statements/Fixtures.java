package tillerlink.statements;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;

/** Definitions and changes for tests. Every statement uses orders.city of each of its groups. */
final class Fixtures {
  private Fixtures() {}

  static Definition definition(String name, String text, int... groups) {
    List<Integer> groupList = IntStream.of(groups).boxed().toList();
    List<String> uses = groupList.stream().map(Fixtures::city).toList();
    return new Definition(
        name,
        text + " where city = $1",
        List.of(ParameterType.TEXT),
        groupList,
        uses,
        "dash",
        RunEffect.PURE);
  }

  private static String city(int group) {
    return group + ":orders.city";
  }

  /** Returns a change that affects no statement. */
  static Change untouched(Integer... groups) {
    return new Change(List.of(groups), List.of(), List.of(), new TreeMap<>());
  }

  /** Returns a change after which statements of the group must be prepared again. */
  static Change altered(int group) {
    return new Change(List.of(group), List.of(), List.of(city(group)), new TreeMap<>());
  }

  /** Returns a change that makes the statements of the group invalid. */
  static Change removed(int group) {
    return new Change(List.of(group), List.of(city(group)), List.of(), new TreeMap<>());
  }

  /** Returns a change that renames orders.city of the group. */
  static Change renamed(int group, String newName) {
    return new Change(
        List.of(group),
        List.of(),
        List.of(),
        new TreeMap<>(Map.of(city(group), group + ":orders." + newName)));
  }
}
