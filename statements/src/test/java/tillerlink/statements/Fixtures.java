package tillerlink.statements;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;

/** Definitions and changes for tests: every statement uses orders.city of each of its groups. */
final class Fixtures {
  private Fixtures() {}

  static Definition definition(String name, String text, int... groups) {
    List<Integer> touched = IntStream.of(groups).boxed().toList();
    List<String> uses = touched.stream().map(Fixtures::city).toList();
    return new Definition(
        name,
        text + " where city = $1",
        List.of(ParameterType.TEXT),
        touched,
        uses,
        "dash",
        RunEffect.PURE);
  }

  private static String city(int group) {
    return group + ":orders.city";
  }

  /** A change that leaves statements as they are. */
  static Change untouched(Integer... groups) {
    return new Change(List.of(groups), List.of(), List.of(), new TreeMap<>());
  }

  static Change altered(int group) {
    return new Change(List.of(group), List.of(), List.of(city(group)), new TreeMap<>());
  }

  static Change removed(int group) {
    return new Change(List.of(group), List.of(city(group)), List.of(), new TreeMap<>());
  }

  static Change renamed(int group, String to) {
    return new Change(
        List.of(group),
        List.of(),
        List.of(),
        new TreeMap<>(Map.of(city(group), group + ":orders." + to)));
  }
}
