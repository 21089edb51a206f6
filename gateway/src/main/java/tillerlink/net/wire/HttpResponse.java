package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;

/**
 * An answer to a client's call.
 *
 * @param retryAfter milliseconds to stay away, 0 for no advice
 * @param last the connection ends after it
 * @param type the media type of the body
 */
public record HttpResponse(int status, byte[] body, long retryAfter, boolean last, String type) {
  private static final String JSON = "application/json";
  private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

  public HttpResponse(int status, byte[] body, long retryAfter, boolean last) {
    this(status, body, retryAfter, last, JSON);
  }

  /** What monitoring reads. */
  public static HttpResponse text(String body) {
    return new HttpResponse(200, body.getBytes(StandardCharsets.UTF_8), 0, false, PROMETHEUS_TEXT);
  }

  public static HttpResponse done() {
    return of(200, "{}", 0);
  }

  /** The path at which there is more. */
  public static HttpResponse goOnAt(String path) {
    return of(200, "{\"continue\":\"" + path + "\"}", 0);
  }

  public static HttpResponse unknown() {
    return problem(404, "Unknown", 0);
  }

  public static HttpResponse problem(int status, String problem, long retryAfter) {
    return of(status, "{\"problem\":\"" + problem + "\"}", retryAfter);
  }

  private static HttpResponse of(int status, String body, long retryAfter) {
    return new HttpResponse(status, body.getBytes(StandardCharsets.UTF_8), retryAfter, false);
  }

  public HttpResponse closingConnection() {
    return new HttpResponse(status, body, retryAfter, true, type);
  }

  public byte[] encoded() {
    StringBuilder head =
        new StringBuilder(160)
            .append("HTTP/1.1 ")
            .append(status)
            .append(' ')
            .append(reason())
            .append("\r\nContent-Type: ")
            .append(type)
            .append("\r\nContent-Length: ")
            .append(body.length);
    if (retryAfter > 0) {
      head.append("\r\nX-Pushback-Ms: ").append(retryAfter);
    }
    if (last) {
      head.append("\r\nConnection: close");
    }
    byte[] start = head.append("\r\n\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    return ByteAccumulator.joined(start, body);
  }

  /** The word for a client that asks before it sends a body. */
  public static byte[] goOn() {
    return "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  }

  private String reason() {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 411 -> "Length Required";
      case 413 -> "Content Too Large";
      case 414 -> "URI Too Long";
      case 431 -> "Request Header Fields Too Large";
      case 503 -> "Service Unavailable";
      case 505 -> "HTTP Version Not Supported";
      default -> "Internal Server Error";
    };
  }
}
