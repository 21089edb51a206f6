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
 * A client of one gateway. Each question has a connection of its own, so that no answer hangs on an
 * older one.
 */
public final class HttpEndpointClient {
  private static final int CONNECT_MS = 2000;
  private static final int PIECE = 8192;

  /**
   * @param retryAfterMs what it was told, 0 if nothing
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
  private static final class Talk implements Closeable {
    private final Socket socket = new Socket();
    private final HttpResponseParser answers = new HttpResponseParser();
    private final int port;

    Talk(int port, int patienceMs) throws IOException {
      this.port = port;
      try {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
        socket.setSoTimeout(patienceMs);
        socket.setTcpNoDelay(true);
      } catch (IOException e) {
        socket.close();
        throw e;
      }
    }

    HttpResponseParser.Response ask(
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
      byte[] piece = new byte[PIECE];
      try {
        HttpResponseParser.Response answer = answers.next();
        while (answer == null) {
          int n = in.read(piece);
          if (n < 0) {
            throw new IOException(
                "the connection ended before the answer to " + method + " " + path);
          }
          answers.feed(Arrays.copyOf(piece, n));
          answer = answers.next();
        }
        return answer;
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
  private final int patienceMs;

  /**
   * @param patienceMs how long an answer is waited for
   */
  public HttpEndpointClient(int port, long patienceMs) {
    this.port = port;
    this.patienceMs = (int) patienceMs;
  }

  public Reply get(String path) throws IOException {
    return ask("GET", path, Map.of(), "");
  }

  /** Asks, and follows the paths to the last answer. */
  public Reply post(String path, Map<String, String> headers, String body) throws IOException {
    return ask("POST", path, headers, body);
  }

  private Reply ask(String method, String path, Map<String, String> headers, String body)
      throws IOException {
    try (Talk talk = new Talk(port, patienceMs)) {
      HttpResponseParser.Response answer = talk.ask(method, path, headers, body);
      while (answer.continuationPath() != null) {
        answer = talk.ask("GET", answer.continuationPath(), Map.of(), "");
      }
      return new Reply(answer.status(), answer.body(), answer.retryAfter());
    }
  }

  /** Whether it says that it is well. */
  public boolean healthy() {
    try {
      return get("/healthz").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Hands in a statement and follows the paths to its last answer.
   *
   * @param id 16 hexadecimal digits
   * @throws IOException if the connection broke: what became of it is not known
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
