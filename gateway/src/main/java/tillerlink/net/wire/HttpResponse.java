package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;

/**
 * A response to a client.
 *
 * @param retryAfter how long the client should wait before it tries again, in milliseconds; 0 for
 *     no advice
 * @param last whether the connection is closed after it
 * @param type the media type of the body
 */
public record HttpResponse(int status, byte[] body, long retryAfter, boolean last, String type) {
  private static final String JSON = "application/json";
  private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";
  private static final String VERSION = "HTTP/1.1 ";
  private static final String CONTENT_TYPE = "\r\nContent-Type: ";
  private static final String CONTENT_LENGTH = "\r\nContent-Length: ";
  private static final String RETRY_AFTER = "\r\nX-Pushback-Ms: ";
  private static final String CLOSE = "\r\nConnection: close";
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String CONTINUE = VERSION + "100 Continue" + END_OF_HEAD;
  private static final String UNKNOWN = "Unknown";

  /** A response with a body in JSON. */
  public HttpResponse(int status, byte[] body, long retryAfter, boolean last) {
    this(status, body, retryAfter, last, JSON);
  }

  /** The metrics, as Prometheus reads them. */
  public static HttpResponse text(String body) {
    return new HttpResponse(
        HttpStatus.OK, body.getBytes(StandardCharsets.UTF_8), 0, false, PROMETHEUS_TEXT);
  }

  /** Success, without a result. */
  public static HttpResponse done() {
    return json(HttpStatus.OK, "{}", 0);
  }

  /** Tells the path at which the client goes on waiting for its result. */
  public static HttpResponse goOnAt(String path) {
    return json(HttpStatus.OK, "{\"continue\":\"" + path + "\"}", 0);
  }

  /** What the client named is not known here. */
  public static HttpResponse unknown() {
    return problem(HttpStatus.NOT_FOUND, UNKNOWN, 0);
  }

  /** An error, with a word for the program that reads it. */
  public static HttpResponse problem(int status, String problem, long retryAfter) {
    return json(status, "{\"problem\":\"" + problem + "\"}", retryAfter);
  }

  private static HttpResponse json(int status, String body, long retryAfter) {
    return new HttpResponse(status, body.getBytes(StandardCharsets.UTF_8), retryAfter, false);
  }

  /** The same response, after which the connection is closed. */
  public HttpResponse closingConnection() {
    return new HttpResponse(status, body, retryAfter, true, type);
  }

  /** The bytes on the wire. */
  public byte[] encoded() {
    StringBuilder head =
        new StringBuilder(160)
            .append(VERSION)
            .append(status)
            .append(' ')
            .append(HttpStatus.reason(status))
            .append(CONTENT_TYPE)
            .append(type)
            .append(CONTENT_LENGTH)
            .append(body.length);
    if (retryAfter > 0) {
      head.append(RETRY_AFTER).append(retryAfter);
    }
    if (last) {
      head.append(CLOSE);
    }
    byte[] start = head.append(END_OF_HEAD).toString().getBytes(StandardCharsets.US_ASCII);
    return ByteAccumulator.joined(start, body);
  }

  /** The interim response for a client that waits for it before it sends a body. */
  public static byte[] goOn() {
    return CONTINUE.getBytes(StandardCharsets.US_ASCII);
  }
}
