package tillerlink.peering.statements;

import static tillerlink.peering.json.MalformedRequestException.require;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import tillerlink.peering.json.MalformedRequestException;

/**
 * Reads a JSON object field by field with limits on its size. All methods throw {@link
 * MalformedRequestException} if the input does not have the expected form.
 */
final class JsonRequestReader {
  private static final int MAX_ITEMS = 256;
  private static final int MAX_NUMBER_DIGITS = 18;
  private static final int MAX_QUOTED_NAME = 64;
  private static final JsonFactory JSON =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(4)
                  .maxStringLength(16 * 1024)
                  .maxNumberLength(64)
                  .build())
          .build();

  /** Reads the value of a field. */
  @FunctionalInterface
  interface FieldReader {
    /**
     * Reads the value at the parser's current token.
     *
     * @return false if the object has no field of that name
     */
    boolean readField(String name, JsonParser json) throws IOException;
  }

  @FunctionalInterface
  private interface ItemReader {
    void readItem() throws IOException;
  }

  private JsonRequestReader() {}

  /** Reads a body that consists of exactly one object. */
  static void readObject(byte[] body, FieldReader fields) {
    try (JsonParser json = JSON.createParser(body)) {
      require(json.nextToken() == JsonToken.START_OBJECT, "an object is wanted");
      while (json.nextToken() == JsonToken.FIELD_NAME) {
        String name = json.currentName();
        json.nextToken();
        require(
            fields.readField(name, json),
            "no field that is known: "
                + name.substring(0, Math.min(name.length(), MAX_QUOTED_NAME)));
      }
      require(
          json.currentToken() == JsonToken.END_OBJECT && json.nextToken() == null,
          "more than one object");
    } catch (JsonProcessingException e) {
      throw new MalformedRequestException(
          "no JSON: line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr(),
          e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String readText(JsonParser json) throws IOException {
    require(
        json.currentToken() == JsonToken.VALUE_STRING, json.currentName() + ": a text is wanted");
    return json.getText();
  }

  /** Reads an integer from 0 to {@code max}. */
  static long readNumber(JsonParser json, long max) throws IOException {
    boolean fits =
        json.currentToken() == JsonToken.VALUE_NUMBER_INT
            && json.getText().length() <= MAX_NUMBER_DIGITS
            && json.getLongValue() >= 0
            && json.getLongValue() <= max;
    require(fits, "numbers: from 0 to " + max);
    return json.getLongValue();
  }

  static void readTexts(JsonParser json, List<String> texts) throws IOException {
    readList(json, () -> texts.add(readText(json)));
  }

  static void readNumbers(JsonParser json, List<Integer> numbers, int max) throws IOException {
    readList(json, () -> numbers.add((int) readNumber(json, max)));
  }

  /** Reads a list of scalar values as strings; a JSON null is added as null. */
  static void readScalars(JsonParser json, List<String> values) throws IOException {
    readList(
        json,
        () -> {
          require(
              json.currentToken().isScalarValue(),
              "parameters: texts, numbers, true, false or null");
          values.add(json.currentToken() == JsonToken.VALUE_NULL ? null : json.getText());
        });
  }

  private static void readList(JsonParser json, ItemReader itemReader) throws IOException {
    require(json.currentToken() == JsonToken.START_ARRAY, "a list is wanted");
    for (int count = 1; json.nextToken() != JsonToken.END_ARRAY; count++) {
      require(count <= MAX_ITEMS, "lists: no more than " + MAX_ITEMS);
      itemReader.readItem();
    }
  }

  /** Reads the renames of a schema change as a map from the old name to the new name. */
  static void readRenames(JsonParser json, Map<String, String> renames) throws IOException {
    require(json.currentToken() == JsonToken.START_OBJECT, "renamed: an object is wanted");
    while (json.nextToken() == JsonToken.FIELD_NAME) {
      String name = json.currentName();
      json.nextToken();
      renames.put(name, readText(json));
      require(renames.size() <= MAX_ITEMS, "lists: no more than " + MAX_ITEMS);
    }
  }
}
