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
 * An HTTP client of one gateway. Each request has its own connection, so that no response waits for
 * an earlier one.
 */
public final class HttpEndpointClient {
  private static final int CONNECT_TIMEOUT_MS = 2000;
  private static final int BUFFER_BYTES = 8192;

  /**
   * A final response.
   *
   * @param retryAfterMs the retry delay that the gateway named, or 0
   */
  public record Reply(int status, String body, long retryAfterMs) {
    /** The body as JSON: maps, lists, texts, numbers. */
    public Object json() throws IOException {
      try (JsonParser parser = new JsonFactory().createParser(body)) {
        parser.nextToken();
        return Json.value(parser);
      } catch (IllegalArgumentException e) {
        throw new IOException("not JSON: " + body, e);
      }
    }

    /** The body as a JSON object. */
    @SuppressWarnings("unchecked")
    public Map<String, Object> object() throws IOException {
      if (json() instanceof Map<?, ?> map) {
        return (Map<String, Object>) map;
      }
      throw new IOException("no object: " + body);
    }
  }

  /** One connection. */
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
      byte[] start = head.toString().getBytes(StandardCharsets.US_ASCII);
      byte[] all = Arrays.copyOf(start, start.length + content.length);
      System.arraycopy(content, 0, all, start.length, content.length);
      socket.getOutputStream().write(all);
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        HttpResponseParser.Response response = parser.next();
        while (response == null) {
          int count = in.read(buffer);
          if (count < 0) {
            throw new IOException(
                "the connection ended before the answer to " + method + " " + path);
          }
          parser.feed(Arrays.copyOf(buffer, count));
          response = parser.next();
        }
        return response;
      } catch (IllegalArgumentException e) {
        throw new IOException("no answer that can be read", e);
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
   * A client of the gateway at that port of loopback.
   *
   * @param timeoutMs how long it waits for a response
   */
  public HttpEndpointClient(int port, long timeoutMs) {
    this.port = port;
    this.timeoutMs = (int) timeoutMs;
  }

  /** Sends a GET and follows the paths to the final response. */
  public Reply get(String path) throws IOException {
    return send("GET", path, Map.of(), "");
  }

  /** Sends a POST and follows the paths to the final response. */
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

  /** Whether its health check succeeds. */
  public boolean healthy() {
    try {
      return get("/healthz").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Submits a statement and follows the paths to its final response.
   *
   * @param id 16 hexadecimal digits
   * @throws IOException if the connection broke: the outcome is unknown
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
