package tillerlink.plain;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Builds values of the JDK from Jackson's token stream: maps (in the order of the text), lists,
 * strings, numbers, booleans and null.
 */
public final class Json {
  private Json() {}

  /**
   * The value that begins at the parser's current token; the parser stands at its last token then.
   *
   * @throws IOException if the text is no JSON
   */
  public static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_ARRAY -> array(parser);
      case START_OBJECT -> object(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> parser.getNumberValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
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
