package tillerlink.net.wire;

import java.util.Map;

/**
 * One call of a client.
 *
 * @param fields headers under their names in small letters
 * @param last the client wants the connection closed after the answer
 */
public record HttpRequest(
    Method method, String path, Map<String, String> fields, byte[] body, boolean last)
    implements HttpParseResult {
  public enum Method {
    GET,
    POST,
    DELETE,
    OTHER
  }
}
