package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.Header;

/** One open stream with its request and the part of its response that is not yet written. */
final class Http2ServerStream {
  static final String ATTEMPT_HEADER = "hop-id";

  final int id;
  final ByteArrayOutputStream requestBody = new ByteArrayOutputStream();
  private final Map<String, String> headers = new HashMap<>();

  /** The stream's flow-control window, in bytes. */
  long window;

  /** The body of the response until all of it is written, else null. */
  byte[] responseBody;

  /**
   * Bytes of the response's body that are written. Until the response to a request with a range
   * starts, the number of bytes that the range leaves out.
   */
  int sent;

  Http2ServerStream(int id, long window, List<Header> headers) {
    this.id = id;
    this.window = window;
    headers.forEach(header -> this.headers.put(header.getName(), header.getValue()));
  }

  /** Returns a header's value, or null if there is no such header. */
  String header(String name) {
    return headers.get(name);
  }

  String header(String name, String defaultValue) {
    return headers.getOrDefault(name, defaultValue);
  }

  String path() {
    return header(":path", "");
  }

  /** Returns the id of the attempt, empty if the request has none. */
  String attempt() {
    return header(ATTEMPT_HEADER, "");
  }
}
