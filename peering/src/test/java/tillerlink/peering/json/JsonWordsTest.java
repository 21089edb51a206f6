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
 * Guards the words of the HTTP interface that are made from the names of constants: whoever renames
 * one of these has to give it the old word explicitly.
 */
class JsonWordsTest {
  private static List<String> words(Enum<?>... constants) {
    return Stream.of(constants).map(JsonBody::word).toList();
  }

  private static List<String> names(Enum<?>... constants) {
    return Stream.of(constants).<String>map(Enum::name).toList();
  }

  @Test
  void statementsAreDescribedByTheseWords() {
    assertEquals(List.of("pure", "receipted", "effectful"), words(RunEffect.values()));
    assertEquals(
        List.of("text", "integer", "decimal", "flag", "day"), words(ParameterType.values()));
    assertEquals(List.of("ready", "anew", "invalid"), words(State.values()));
  }

  @Test
  void eventsAndCuesAreDescribedByTheseWords() {
    assertEquals(List.of("cue", "correction", "retraction", "air", "note"), words(Kind.values()));
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
        words(Flag.values()));
  }

  @Test
  void membersAreDescribedByTheseWords() {
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
