package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;

/**
 * An HTTP response to a client.
 *
 * @param status the status code
 * @param body the content
 * @param retryAfter the time that the client should wait before it retries, in milliseconds; 0 if
 *     the response does not state one
 * @param closesConnection whether the connection is closed after the response
 * @param type the media type of the body
 */
public record HttpResponse(
    int status, byte[] body, long retryAfter, boolean closesConnection, String type) {
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

  /** Creates a response with a JSON body. */
  public HttpResponse(int status, byte[] body, long retryAfter, boolean closesConnection) {
    this(status, body, retryAfter, closesConnection, JSON);
  }

  /** Returns a response with metrics in the Prometheus text format. */
  public static HttpResponse text(String body) {
    return new HttpResponse(
        HttpStatus.OK, body.getBytes(StandardCharsets.UTF_8), 0, false, PROMETHEUS_TEXT);
  }

  /** Returns a response that reports success without a result. */
  public static HttpResponse done() {
    return json(HttpStatus.OK, "{}", 0);
  }

  /** Returns a response that states the path at which the client can fetch its result. */
  public static HttpResponse continueAt(String path) {
    return json(HttpStatus.OK, "{\"continue\":\"" + path + "\"}", 0);
  }

  /** Returns the response to a request for an unknown resource. */
  public static HttpResponse unknown() {
    return problem(HttpStatus.NOT_FOUND, UNKNOWN, 0);
  }

  /**
   * Returns an error response.
   *
   * @param problem the machine-readable reason; must not contain characters that JSON escapes
   * @param retryAfter the time that the client should wait before it retries, in milliseconds; 0 if
   *     the response does not state one
   */
  public static HttpResponse problem(int status, String problem, long retryAfter) {
    return json(status, "{\"problem\":\"" + problem + "\"}", retryAfter);
  }

  private static HttpResponse json(int status, String body, long retryAfter) {
    return new HttpResponse(status, body.getBytes(StandardCharsets.UTF_8), retryAfter, false);
  }

  /** Returns a copy of this response after which the connection is closed. */
  public HttpResponse closingConnection() {
    return new HttpResponse(status, body, retryAfter, true, type);
  }

  /** Encodes the response as sent on the wire. */
  public byte[] encode() {
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
    if (closesConnection) {
      head.append(CLOSE);
    }
    byte[] encodedHead = head.append(END_OF_HEAD).toString().getBytes(StandardCharsets.US_ASCII);
    return ByteAccumulator.concat(encodedHead, body);
  }

  /** Returns the interim response 100 Continue, which a client may await before it sends a body. */
  public static byte[] continueResponse() {
    return CONTINUE.getBytes(StandardCharsets.US_ASCII);
  }
}
