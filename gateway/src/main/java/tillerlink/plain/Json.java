package tillerlink.plain;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts Jackson's token stream to values of the JDK: maps (in the order of the input), lists,
 * strings, numbers, booleans and null.
 */
public final class Json {
  private Json() {}

  /**
   * Reads the value that starts at the parser's current token, and leaves the parser at the last
   * token of that value.
   *
   * @param parser a parser positioned at the first token of a value
   * @return the value; null for a JSON null
   * @throws IOException if the input is not valid JSON
   */
  public static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_ARRAY -> array(parser);
      case START_OBJECT -> object(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> parser.getNumberValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static List<Object> array(JsonParser parser) throws IOException {
    List<Object> list = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(value(parser));
    }
    return list;
  }

  private static Map<String, Object> object(JsonParser parser) throws IOException {
    Map<String, Object> map = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      map.put(name, value(parser));
    }
    return map;
  }
}
