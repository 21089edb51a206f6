package tillerlink.net.wire;

import java.util.Locale;
import java.util.Map;

/**
 * One HTTP request of a client.
 *
 * @param path the target's path, without its query
 * @param fields the headers, under their names in lower case
 * @param last whether the client wants the connection closed after the response
 */
public record HttpRequest(
    Method method, String path, Map<String, String> fields, byte[] body, boolean last)
    implements HttpParseResult {
  /** The methods that the gateway knows, and {@code OTHER} for all others. */
  public enum Method {
    GET,
    POST,
    DELETE,
    OTHER;

    static Method ofWire(String word) {
      return switch (word) {
        case "GET" -> GET;
        case "POST" -> POST;
        case "DELETE" -> DELETE;
        default -> OTHER;
      };
    }
  }

  /** The value of a header, whose name may be in any case; null if it is absent. */
  String header(String name) {
    return fields.get(name.toLowerCase(Locale.ROOT));
  }
}
