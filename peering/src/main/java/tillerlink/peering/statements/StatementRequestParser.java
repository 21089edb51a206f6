package tillerlink.peering.statements;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;

/**
 * Reads the bodies of clients' calls; IllegalArgumentException, in words for people, at what it
 * can't use.
 */
final class StatementRequestParser {
  private static final int ITEMS_MOST = 256;
  private static final JsonFactory JSON =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(4)
                  .maxStringLength(16 * 1024)
                  .maxNumberLength(64)
                  .build())
          .build();

  /**
   * @param over the generation that is to be replaced, 0 if the name must be free, -1 if it doesn't
   *     matter
   */
  record Preparation(Definition definition, long over) {}

  /**
   * @param generation the least that is to be run, 0 if it doesn't matter
   */
  record Run(List<String> values, long generation) {}

  private interface Field {
    /**
     * @return false if the name is none of the object's
     */
    boolean take(String name, JsonParser in) throws IOException;
  }

  private StatementRequestParser() {}

  static Preparation preparation(String name, byte[] body) {
    String[] texts = {"", "", "pure"};
    List<String> types = new ArrayList<>();
    List<String> uses = new ArrayList<>();
    List<Integer> groups = new ArrayList<>();
    long[] over = {-1};
    object(
        body,
        (field, in) -> {
          switch (field) {
            case "text" -> texts[0] = text(in);
            case "track" -> texts[1] = text(in);
            case "effect" -> texts[2] = text(in);
            case "parameters" -> texts(in, types);
            case "uses" -> texts(in, uses);
            case "groups" -> numbers(in, groups);
            case "over" -> over[0] = number(in, Long.MAX_VALUE);
            default -> {
              return false;
            }
          }
          return true;
        });
    return new Preparation(
        new Definition(
            name,
            texts[0],
            types.stream().map(StatementRequestParser::type).toList(),
            groups,
            uses,
            texts[1],
            word(RunEffect.class, "effect", texts[2])),
        over[0]);
  }

  private static ParameterType type(String word) {
    return word(ParameterType.class, "parameters", word);
  }

  private static <E extends Enum<E>> E word(Class<E> kind, String field, String word) {
    for (E each : kind.getEnumConstants()) {
      if (each.name().toLowerCase(Locale.ROOT).equals(word)) {
        return each;
      }
    }
    throw new IllegalArgumentException(
        field
            + ": "
            + String.join(
                ", ",
                List.of(kind.getEnumConstants()).stream()
                    .map(each -> each.name().toLowerCase(Locale.ROOT))
                    .toList()));
  }

  /**
   * @param group the one that the path names; a change may touch more
   */
  static Change change(int group, byte[] body) {
    List<Integer> groups = new ArrayList<>(List.of(group));
    List<String> removed = new ArrayList<>();
    List<String> altered = new ArrayList<>();
    TreeMap<String, String> renamed = new TreeMap<>();
    if (body.length > 0) {
      object(
          body,
          (field, in) -> {
            switch (field) {
              case "groups" -> numbers(in, groups);
              case "removed" -> texts(in, removed);
              case "altered" -> texts(in, altered);
              case "renamed" -> pairs(in, renamed);
              default -> {
                return false;
              }
            }
            return true;
          });
    }
    return new Change(groups, removed, altered, renamed);
  }

  static Run run(byte[] body) {
    List<String> values = new ArrayList<>();
    long[] generation = {0};
    if (body.length > 0) {
      object(
          body,
          (field, in) -> {
            switch (field) {
              case "parameters" -> values(in, values);
              case "generation" -> generation[0] = number(in, Long.MAX_VALUE);
              default -> {
                return false;
              }
            }
            return true;
          });
    }
    return new Run(values, generation[0]);
  }

  // ---- JSON ----

  private static void object(byte[] body, Field to) {
    try (JsonParser in = JSON.createParser(body)) {
      want(in.nextToken() == JsonToken.START_OBJECT, "an object is wanted");
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        in.nextToken();
        want(
            to.take(name, in),
            "no field that is known: " + name.substring(0, Math.min(name.length(), 64)));
      }
      want(
          in.currentToken() == JsonToken.END_OBJECT && in.nextToken() == null,
          "more than one object");
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "no JSON: line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr(),
          e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void want(boolean holds, String words) {
    if (!holds) {
      throw new IllegalArgumentException(words);
    }
  }

  private static String text(JsonParser in) throws IOException {
    want(in.currentToken() == JsonToken.VALUE_STRING, in.currentName() + ": a text is wanted");
    return in.getText();
  }

  private static long number(JsonParser in, long most) throws IOException {
    boolean fits =
        in.currentToken() == JsonToken.VALUE_NUMBER_INT
            && in.getText().length() <= 18
            && in.getLongValue() >= 0
            && in.getLongValue() <= most;
    want(fits, "numbers: from 0 to " + most);
    return in.getLongValue();
  }

  private interface Item {
    void take() throws IOException;
  }

  private static void list(JsonParser in, Item item) throws IOException {
    want(in.currentToken() == JsonToken.START_ARRAY, "a list is wanted");
    for (int count = 1; in.nextToken() != JsonToken.END_ARRAY; count++) {
      want(count <= ITEMS_MOST, "lists: no more than " + ITEMS_MOST);
      item.take();
    }
  }

  private static void texts(JsonParser in, List<String> to) throws IOException {
    list(in, () -> to.add(text(in)));
  }

  private static void numbers(JsonParser in, List<Integer> to) throws IOException {
    list(in, () -> to.add((int) number(in, Definition.MAX_GROUP)));
  }

  private static void values(JsonParser in, List<String> to) throws IOException {
    list(
        in,
        () -> {
          want(
              in.currentToken().isScalarValue(), "parameters: texts, numbers, true, false or null");
          to.add(in.currentToken() == JsonToken.VALUE_NULL ? null : in.getText());
        });
  }

  private static void pairs(JsonParser in, TreeMap<String, String> to) throws IOException {
    want(in.currentToken() == JsonToken.START_OBJECT, "renamed: an object is wanted");
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      to.put(name, text(in));
      want(to.size() <= ITEMS_MOST, "lists: no more than " + ITEMS_MOST);
    }
  }
}
