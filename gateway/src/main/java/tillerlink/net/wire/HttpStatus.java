package tillerlink.net.wire;

import java.util.Map;

/** The status codes of the gateway's responses (RFC 9110, section 15). */
final class HttpStatus {
  static final int OK = 200;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int REQUEST_TIMEOUT = 408;
  static final int CONFLICT = 409;
  static final int LENGTH_REQUIRED = 411;
  static final int CONTENT_TOO_LARGE = 413;
  static final int URI_TOO_LONG = 414;
  static final int HEADER_FIELDS_TOO_LARGE = 431;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int VERSION_NOT_SUPPORTED = 505;

  private static final Map<Integer, String> REASONS =
      Map.ofEntries(
          Map.entry(OK, "OK"),
          Map.entry(BAD_REQUEST, "Bad Request"),
          Map.entry(NOT_FOUND, "Not Found"),
          Map.entry(METHOD_NOT_ALLOWED, "Method Not Allowed"),
          Map.entry(REQUEST_TIMEOUT, "Request Timeout"),
          Map.entry(CONFLICT, "Conflict"),
          Map.entry(LENGTH_REQUIRED, "Length Required"),
          Map.entry(CONTENT_TOO_LARGE, "Content Too Large"),
          Map.entry(URI_TOO_LONG, "URI Too Long"),
          Map.entry(HEADER_FIELDS_TOO_LARGE, "Request Header Fields Too Large"),
          Map.entry(SERVICE_UNAVAILABLE, "Service Unavailable"),
          Map.entry(VERSION_NOT_SUPPORTED, "HTTP Version Not Supported"));

  private static final String OTHER_REASON = "Internal Server Error";

  private HttpStatus() {}

  /**
   * Returns the reason phrase for a status line. Codes that are not listed here have the reason
   * phrase of 500.
   */
  static String reason(int status) {
    return REASONS.getOrDefault(status, OTHER_REASON);
  }
}
