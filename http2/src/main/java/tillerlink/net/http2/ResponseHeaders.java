package tillerlink.net.http2;

import java.util.List;
import org.apache.hc.core5.http.Header;

/** Validates and reads the header lists of responses (RFC 9113, sections 8.2 and 8.3). */
final class ResponseHeaders {
  /** Returned instead of a status if the header list is malformed. */
  static final int MALFORMED = -1;

  /** Returned instead of a status if the header list is well-formed trailers. */
  static final int TRAILERS = 0;

  /** Returned instead of a length if the headers declare none. */
  static final long NO_CONTENT_LENGTH = -1;

  /** Returned instead of a length if the declared one is invalid. */
  static final long BAD_CONTENT_LENGTH = -2;

  private static final String STATUS = ":status";
  private static final String SWITCHING_PROTOCOLS = "101";
  private static final String CONTENT_LENGTH = "content-length";
  private static final int STATUS_DIGITS = 3;
  private static final int MAX_LENGTH_DIGITS = 12;

  private ResponseHeaders() {}

  /**
   * Returns the status of a response.
   *
   * @param trailers whether the list was received after the headers of the final response
   * @return {@link #TRAILERS} for trailers, {@link #MALFORMED} if the list is malformed
   */
  static int status(List<Header> headers, boolean trailers) {
    int status = trailers ? TRAILERS : MALFORMED;
    boolean regularSeen = false;
    for (Header header : headers) {
      if (header.getName().startsWith(":")) {
        if (regularSeen || trailers || status != MALFORMED || !isStatus(header)) {
          return MALFORMED;
        }
        status = Integer.parseInt(header.getValue());
      } else {
        regularSeen = true;
        if (!isValidField(header)) {
          return MALFORMED;
        }
      }
    }
    return status;
  }

  /**
   * Returns the body length, in bytes, that a response declares.
   *
   * @return {@link #NO_CONTENT_LENGTH} if it declares none, {@link #BAD_CONTENT_LENGTH} if it
   *     declares more than one or an invalid number
   */
  static long contentLength(List<Header> headers) {
    long length = NO_CONTENT_LENGTH;
    for (Header header : headers) {
      if (header.getName().equals(CONTENT_LENGTH)) {
        String value = header.getValue();
        if (length != NO_CONTENT_LENGTH || value.length() > MAX_LENGTH_DIGITS || !isDigits(value)) {
          return BAD_CONTENT_LENGTH;
        }
        length = Long.parseLong(value);
      }
    }
    return length;
  }

  private static boolean isStatus(Header header) {
    String value = header.getValue();
    return header.getName().equals(STATUS)
        && value.length() == STATUS_DIGITS
        && isDigits(value)
        && value.charAt(0) >= '1'
        && value.charAt(0) <= '5'
        && !value.equals(SWITCHING_PROTOCOLS);
  }

  private static boolean isValidField(Header header) {
    return isName(header.getName()) && !isConnectionSpecific(header) && isValue(header.getValue());
  }

  private static boolean isName(String name) {
    return !name.isEmpty() && name.chars().allMatch(ResponseHeaders::isNameCharacter);
  }

  private static boolean isNameCharacter(int character) {
    boolean capital = character >= 'A' && character <= 'Z';
    return character > ' ' && character < 127 && !capital && character != ':';
  }

  private static boolean isValue(String value) {
    return value.indexOf(0) < 0 && value.indexOf('\r') < 0 && value.indexOf('\n') < 0;
  }

  private static boolean isDigits(String text) {
    return !text.isEmpty()
        && text.chars().allMatch(character -> character >= '0' && character <= '9');
  }

  /** Returns true for connection-specific headers, which HTTP/2 forbids (section 8.2.2). */
  private static boolean isConnectionSpecific(Header header) {
    return switch (header.getName()) {
      case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade" -> true;
      case "te" -> !header.getValue().equals("trailers");
      default -> false;
    };
  }
}
