package tillerlink.net.wire;

import java.util.Locale;
import java.util.Map;

/**
 * One HTTP request of a client.
 *
 * @param path the path of the request target, without the query
 * @param fields the header fields by name in lower case
 * @param body the content; empty if the request has none
 * @param closesConnection whether the client wants the connection to be closed after the response
 */
public record HttpRequest(
    Method method, String path, Map<String, String> fields, byte[] body, boolean closesConnection)
    implements HttpParseResult {
  /** The methods that the gateway supports, and {@code OTHER} for any other. */
  public enum Method {
    GET,
    POST,
    DELETE,
    OTHER;

    static Method ofWire(String name) {
      return switch (name) {
        case "GET" -> GET;
        case "POST" -> POST;
        case "DELETE" -> DELETE;
        default -> OTHER;
      };
    }
  }

  /**
   * Returns the value of a header field, or null if it is absent.
   *
   * @param name the name of the field, in any case
   */
  String header(String name) {
    return fields.get(name.toLowerCase(Locale.ROOT));
  }
}
