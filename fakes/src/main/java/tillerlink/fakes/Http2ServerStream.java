package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.Header;

/** One open stream: its request, and the part of its response that waits for a window. */
final class Http2ServerStream {
  static final String ATTEMPT_HEADER = "hop-id";

  final int id;
  final ByteArrayOutputStream requestBody = new ByteArrayOutputStream();
  private final Map<String, String> headers = new HashMap<>();

  /** Flow-control window of the stream, in bytes. */
  long window;

  /** The response's body while it is not written whole, else null. */
  byte[] responseBody;

  /** Bytes of the response's body that are written, or are to be left out. */
  int sent;

  Http2ServerStream(int id, long window, List<Header> headers) {
    this.id = id;
    this.window = window;
    headers.forEach(header -> this.headers.put(header.getName(), header.getValue()));
  }

  /** A header's value, or null if there is no such header. */
  String header(String name) {
    return headers.get(name);
  }

  String header(String name, String otherwise) {
    return headers.getOrDefault(name, otherwise);
  }

  String path() {
    return header(":path", "");
  }

  /** The id of the attempt, or empty. */
  String attempt() {
    return header(ATTEMPT_HEADER, "");
  }
}
