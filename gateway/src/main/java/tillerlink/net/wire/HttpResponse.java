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
 * @param continuePath the path at which the client can fetch its result, as the body states it;
 *     null if it states none
 */
public record HttpResponse(
    int status,
    byte[] body,
    long retryAfter,
    boolean closesConnection,
    String type,
    String continuePath)
    implements ClientAnswer {
  static final byte[] NO_CONTENT = new byte[0];
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
    this(status, body, retryAfter, closesConnection, JSON, null);
  }

  /** Returns a response with metrics in the Prometheus text format. */
  public static HttpResponse text(String body) {
    return new HttpResponse(
        HttpStatus.OK, body.getBytes(StandardCharsets.UTF_8), 0, false, PROMETHEUS_TEXT, null);
  }

  /** Returns a response that reports success without a result. */
  public static HttpResponse done() {
    return json(HttpStatus.OK, "{}", 0);
  }

  /** Returns a response that states the path at which the client can fetch its result. */
  public static HttpResponse continueAt(String path) {
    byte[] body = ("{\"continue\":\"" + path + "\"}").getBytes(StandardCharsets.UTF_8);
    return new HttpResponse(HttpStatus.OK, body, 0, false, JSON, path);
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

  /** Returns whether a request is refused for want of capacity. */
  public boolean isOverload() {
    return status == HttpStatus.SERVICE_UNAVAILABLE;
  }

  @Override
  public HttpResponse closingConnection() {
    return new HttpResponse(status, body, retryAfter, true, type, continuePath);
  }

  /** Encodes the response as sent on the wire. */
  public byte[] encode() {
    return ByteAccumulator.concat(encodeHead(body.length), body);
  }

  @Override
  public ResponseWriter writer() {
    return new ResponseWriter(encodeHead(body.length), new FixedContent(body));
  }

  @Override
  public int retainedBytes() {
    return body.length;
  }

  /**
   * Encodes the status line and the header fields.
   *
   * @param contentLength the length of the content that follows, in bytes
   */
  byte[] encodeHead(int contentLength) {
    StringBuilder head =
        new StringBuilder(160)
            .append(VERSION)
            .append(status)
            .append(' ')
            .append(HttpStatus.reason(status))
            .append(CONTENT_TYPE)
            .append(type)
            .append(CONTENT_LENGTH)
            .append(contentLength);
    if (retryAfter > 0) {
      head.append(RETRY_AFTER).append(retryAfter);
    }
    if (closesConnection) {
      head.append(CLOSE);
    }
    return head.append(END_OF_HEAD).toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the interim response 100 Continue, which a client may await before it sends a body. */
  public static byte[] continueResponse() {
    return CONTINUE.getBytes(StandardCharsets.US_ASCII);
  }

  /** Content that is held in its encoded form. */
  private static final class FixedContent implements ResponseWriter.ContentReader {
    private final byte[] bytes;
    private int position;

    FixedContent(byte[] bytes) {
      this.bytes = bytes;
    }

    @Override
    public int remaining() {
      return bytes.length - position;
    }

    @Override
    public void read(byte[] target, int start, int count) {
      System.arraycopy(bytes, position, target, start, count);
      position += count;
    }
  }
}
