package tillerlink.peering.json;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.channels.cue.Flag;
import tillerlink.cluster.Reachability;
import tillerlink.messages.channels.Kind;
import tillerlink.messages.envelope.Refusal;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;
import tillerlink.statements.catalog.State;

/**
 * Guards the values of the HTTP interface that are derived from the names of enum constants. If a
 * constant is renamed, it must get an attribute that keeps the old value, because clients depend on
 * it.
 */
class JsonWordsTest {
  private static List<String> lowerCaseNames(Enum<?>... constants) {
    return Stream.of(constants).map(JsonBody::lowerCaseName).toList();
  }

  private static List<String> names(Enum<?>... constants) {
    return Stream.of(constants).<String>map(Enum::name).toList();
  }

  @Test
  void statementConstantsKeepTheirOuterNames() {
    assertEquals(List.of("pure", "receipted", "effectful"), lowerCaseNames(RunEffect.values()));
    assertEquals(
        List.of("text", "integer", "decimal", "flag", "day"),
        lowerCaseNames(ParameterType.values()));
    assertEquals(List.of("ready", "anew", "invalid"), lowerCaseNames(State.values()));
  }

  @Test
  void eventAndCueConstantsKeepTheirOuterNames() {
    assertEquals(
        List.of("cue", "correction", "retraction", "air", "note"), lowerCaseNames(Kind.values()));
    assertEquals(
        List.of(
            "concurrent",
            "retracted_unseen",
            "corrected_retracted",
            "after_air",
            "air_twice",
            "air_passed",
            "air_of_retracted",
            "no_cue"),
        lowerCaseNames(Flag.values()));
  }

  @Test
  void memberConstantsKeepTheirOuterNames() {
    assertEquals(
        List.of("REACHABLE", "THROUGH_OTHERS", "SUSPECTED", "GONE", "LEFT"),
        names(Reachability.values()));
    assertEquals(
        List.of(
            "OVERSIZED",
            "GARBLED",
            "TOO_NEW",
            "FOREIGN",
            "UNSEALED",
            "FORGED",
            "REPEATED",
            "OWN",
            "MISFIT",
            "INCOMPLETE",
            "NO_PART"),
        names(Refusal.values()));
  }
}
