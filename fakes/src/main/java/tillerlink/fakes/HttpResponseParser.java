package tillerlink.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * A parser for the client's end of HTTP/1.1, which turns the bytes of one connection into
 * responses. It has no socket.
 */
public final class HttpResponseParser {
  private static final int MAX_HEAD_BYTES = 16_384;
  private static final int CONTINUE = 100;
  private static final String CONTINUATION_PREFIX = "{\"continue\":\"";
  private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /**
   * One response.
   *
   * @param retryAfter milliseconds to wait before a retry, 0 if the gateway sent no such header
   * @param closes whether the gateway closes the connection after it
   */
  public record Response(int status, long retryAfter, boolean closes, String body) {
    /** Returns the path to poll for the result, or null if this is the final response. */
    public String continuationPath() {
      return body.startsWith(CONTINUATION_PREFIX)
          ? body.substring(
              CONTINUATION_PREFIX.length(), body.indexOf('"', CONTINUATION_PREFIX.length()))
          : null;
    }
  }

  private byte[] buffered = new byte[0];

  /** Appends bytes that the gateway sent to the input. */
  public void feed(byte[] bytes) {
    if (buffered.length == 0) {
      buffered = bytes;
      return;
    }
    byte[] joined = Arrays.copyOf(buffered, buffered.length + bytes.length);
    System.arraycopy(bytes, 0, joined, buffered.length, bytes.length);
    buffered = joined;
  }

  /**
   * Returns the next response, or null while it is incomplete. Interim responses (100) are skipped.
   *
   * @throws IllegalArgumentException if the bytes are not a valid response
   */
  public Response next() {
    int end = headEnd();
    if (end < 0) {
      if (buffered.length > MAX_HEAD_BYTES) {
        throw new IllegalArgumentException("response head exceeds " + MAX_HEAD_BYTES + " bytes");
      }
      return null;
    }
    String[] lines = new String(buffered, 0, end, StandardCharsets.ISO_8859_1).split("\r\n", -1);
    int status = status(lines[0]);
    int length = 0;
    long retryAfter = 0;
    boolean closes = false;
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      String value = lines[i].substring(colon + 1).strip();
      switch (colon < 0 ? "" : lines[i].substring(0, colon).toLowerCase(Locale.ROOT)) {
        case "content-length" -> length = Integer.parseInt(value);
        case "x-pushback-ms" -> retryAfter = Long.parseLong(value);
        case "connection" -> closes = value.equals("close");
        default -> {}
      }
    }
    int bodyStart = end + HEAD_END.length;
    if (buffered.length < bodyStart + length) {
      return null;
    }
    String body = new String(buffered, bodyStart, length, StandardCharsets.UTF_8);
    buffered = Arrays.copyOfRange(buffered, bodyStart + length, buffered.length);
    return status == CONTINUE ? next() : new Response(status, retryAfter, closes, body);
  }

  private static int status(String statusLine) {
    String[] fields = statusLine.split(" ", 3);
    if (fields.length < 2
        || !fields[0].equals("HTTP/1.1")
        || !fields[1].matches("[1-5][0-9][0-9]")) {
      throw new IllegalArgumentException("expected an HTTP/1.1 status line, got " + statusLine);
    }
    return Integer.parseInt(fields[1]);
  }

  /** Returns the index at which the blank line after the headers starts, or -1 if incomplete. */
  private int headEnd() {
    for (int i = 0; i + HEAD_END.length <= buffered.length; i++) {
      if (buffered[i] == '\r'
          && Arrays.equals(buffered, i, i + HEAD_END.length, HEAD_END, 0, HEAD_END.length)) {
        return i;
      }
    }
    return -1;
  }
}
