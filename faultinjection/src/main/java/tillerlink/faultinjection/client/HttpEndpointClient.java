package tillerlink.faultinjection.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import tillerlink.fakes.HttpResponseParser;
import tillerlink.plain.Json;

/**
 * An HTTP client of one gateway. Each request uses its own connection, so that no response waits
 * for an earlier one.
 */
public final class HttpEndpointClient {
  private static final int CONNECT_TIMEOUT_MS = 2000;
  private static final int BUFFER_BYTES = 8192;

  /**
   * A final response.
   *
   * @param status the HTTP status
   * @param retryAfterMs the retry delay that the gateway requested, in milliseconds; 0 if none
   */
  public record Reply(int status, String body, long retryAfterMs) {
    /**
     * Parses the body as JSON.
     *
     * @return a map, list, string, number or boolean, or null
     * @throws IOException if the body is not JSON
     */
    public Object json() throws IOException {
      try (JsonParser parser = new JsonFactory().createParser(body)) {
        parser.nextToken();
        return Json.value(parser);
      } catch (IllegalArgumentException e) {
        throw new IOException("response body is not JSON: " + body, e);
      }
    }

    /**
     * Parses the body as a JSON object.
     *
     * @throws IOException if the body is not a JSON object
     */
    @SuppressWarnings("unchecked")
    public Map<String, Object> object() throws IOException {
      if (json() instanceof Map<?, ?> map) {
        return (Map<String, Object>) map;
      }
      throw new IOException("response body is not a JSON object: " + body);
    }
  }

  /** A connection to the gateway, over which requests are sent one after the other. */
  private static final class HttpConnection implements Closeable {
    private final Socket socket = new Socket();
    private final HttpResponseParser parser = new HttpResponseParser();
    private final int port;

    HttpConnection(int port, int timeoutMs) throws IOException {
      this.port = port;
      try {
        socket.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(timeoutMs);
        socket.setTcpNoDelay(true);
      } catch (IOException e) {
        socket.close();
        throw e;
      }
    }

    HttpResponseParser.Response send(
        String method, String path, Map<String, String> headers, String body) throws IOException {
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head =
          new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port)
              .append("\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
      byte[] headBytes = head.toString().getBytes(StandardCharsets.US_ASCII);
      byte[] requestBytes = Arrays.copyOf(headBytes, headBytes.length + content.length);
      System.arraycopy(content, 0, requestBytes, headBytes.length, content.length);
      socket.getOutputStream().write(requestBytes);
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        HttpResponseParser.Response response = parser.next();
        while (response == null) {
          int count = in.read(buffer);
          if (count < 0) {
            throw new IOException(
                "connection closed before the response to " + method + " " + path);
          }
          parser.feed(Arrays.copyOf(buffer, count));
          response = parser.next();
        }
        return response;
      } catch (IllegalArgumentException e) {
        throw new IOException("unreadable response to " + method + " " + path, e);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private final int port;
  private final int timeoutMs;

  /**
   * Creates a client of the gateway at a port of the loopback interface.
   *
   * @param timeoutMs the read timeout, in milliseconds
   */
  public HttpEndpointClient(int port, long timeoutMs) {
    this.port = port;
    this.timeoutMs = (int) timeoutMs;
  }

  /** Sends a GET, and follows continuation paths until the final response. */
  public Reply get(String path) throws IOException {
    return send("GET", path, Map.of(), "");
  }

  /** Sends a POST, and follows continuation paths until the final response. */
  public Reply post(String path, Map<String, String> headers, String body) throws IOException {
    return send("POST", path, headers, body);
  }

  private Reply send(String method, String path, Map<String, String> headers, String body)
      throws IOException {
    try (HttpConnection connection = new HttpConnection(port, timeoutMs)) {
      HttpResponseParser.Response response = connection.send(method, path, headers, body);
      while (response.continuationPath() != null) {
        response = connection.send("GET", response.continuationPath(), Map.of(), "");
      }
      return new Reply(response.status(), response.body(), response.retryAfter());
    }
  }

  /** Returns whether the gateway's health check succeeds; false if it cannot be reached. */
  public boolean healthy() {
    try {
      return get("/healthz").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Submits a statement, and follows continuation paths until the final response.
   *
   * @param requestClass the name of the request class
   * @param id the correlation id, 16 hexadecimal digits
   * @param deadlineMs the time that the request may take, in milliseconds
   * @throws IOException if the connection broke, which leaves the outcome unknown
   */
  public Reply submit(String requestClass, String id, String statement, long deadlineMs)
      throws IOException {
    return post(
        "/v1/" + requestClass,
        Map.of(
            "X-Correlation-Id",
            id,
            "X-Deadline-Ms",
            Long.toString(deadlineMs),
            "X-Estimate-Ms",
            "5"),
        statement);
  }
}
