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

  /** The memory that a header field takes apart from its characters: a map entry, two strings. */
  private static final int FIELD_OVERHEAD_BYTES = 160;

  /** Returns the number of bytes of memory that the request takes. */
  public int retainedBytes() {
    return body.length + headBytes(path, fields);
  }

  /** Returns the number of bytes of memory that a path and header fields take as objects. */
  static int headBytes(String path, Map<String, String> fields) {
    int bytes = path.length() + FIELD_OVERHEAD_BYTES * (1 + fields.size());
    for (Map.Entry<String, String> field : fields.entrySet()) {
      bytes += field.getKey().length() + field.getValue().length();
    }
    return bytes;
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
