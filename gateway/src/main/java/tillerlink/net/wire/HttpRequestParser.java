package tillerlink.net.wire;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Makes calls of the bytes of one client connection (RFC 9112); knows no socket. */
public final class HttpRequestParser {
  private static final int LINE_MOST = 4096;
  private static final int HEAD_MOST = 16_384;
  private static final int FIELDS_MOST = 64;
  private static final int BODY_MOST = 131_072;
  private static final String MARKS = "!#$%&'*+-.^_`|~";

  private final ByteAccumulator bytes = new ByteAccumulator();
  private boolean broken;

  /** The head of a call whose body is still to come. */
  private HttpRequest head;

  private int bodyLength;
  private int scanned;
  private boolean goOnWanted;

  public void feed(byte[] more) {
    if (!broken) {
      bytes.feed(more);
    }
  }

  /**
   * How many bytes wait to be taken; those of one call are bounded, so more than that are
   * pipelined.
   */
  public int waiting() {
    return bytes.size();
  }

  /** Whether a call has begun to come and is not yet whole. */
  public boolean midway() {
    return !broken && (head != null || bytes.size() > 0);
  }

  /** Whether the client waits for a word before it sends the body; true once. */
  public boolean wantsGoOn() {
    boolean wanted = goOnWanted;
    goOnWanted = false;
    return wanted;
  }

  /**
   * The next call, or the fault after which nothing more is read, or null while it is not whole.
   */
  public HttpParseResult next() {
    if (broken) {
      return null;
    }
    try {
      if (head == null && !readHead() || bytes.size() < bodyLength) {
        return null;
      }
      byte[] body = bytes.take(bodyLength);
      HttpRequest whole =
          new HttpRequest(head.method(), head.path(), head.fields(), body, head.last());
      head = null;
      goOnWanted = false;
      return whole;
    } catch (Fault e) {
      broken = true;
      bytes.skip(bytes.size());
      return new HttpParseError(e.status, e.getMessage());
    }
  }

  private boolean readHead() {
    while (bytes.size() >= 2 && bytes.at(0) == '\r' && bytes.at(1) == '\n') {
      bytes.skip(2);
    }
    int end = headEnd();
    if (end < 0) {
      return false;
    }
    String[] lines = bytes.text(end).split("\r?\n");
    bytes.skip(end);
    scanned = 0;
    String[] words = lines[0].split(" ", -1);
    if (words.length != 3 || words[0].isEmpty() || words[1].isEmpty()) {
      throw new Fault(400, "request line");
    }
    if (!words[2].equals("HTTP/1.1") && !words[2].equals("HTTP/1.0")) {
      throw new Fault(words[2].startsWith("HTTP/") ? 505 : 400, "version");
    }
    boolean old = words[2].endsWith("0");
    Map<String, String> fields = fields(lines);
    if (!old && !fields.containsKey("host")) {
      throw new Fault(400, "no Host");
    }
    bodyLength = bodyLength(fields);
    String connection = fields.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
    head =
        new HttpRequest(
            method(words[0]),
            path(words[1]),
            fields,
            new byte[0],
            old ? !connection.contains("keep-alive") : connection.contains("close"));
    goOnWanted = "100-continue".equalsIgnoreCase(fields.get("expect")) && bytes.size() < bodyLength;
    return true;
  }

  /** Where the blank line after the head ends, or -1 while it has not come. */
  private int headEnd() {
    int lineFrom = scanned;
    while (true) {
      int lineTo = bytes.find((byte) '\n', lineFrom);
      int reached = lineTo < 0 ? bytes.size() : lineTo + 1;
      if (scanned == 0 && lineFrom == 0 && reached > LINE_MOST) {
        throw new Fault(414, "request line too long");
      }
      if (reached > HEAD_MOST) {
        throw new Fault(431, "head too long");
      }
      if (lineTo < 0) {
        scanned = lineFrom;
        return -1;
      }
      int length = lineTo - lineFrom;
      if (lineFrom > 0 && (length == 0 || length == 1 && bytes.at(lineFrom) == '\r')) {
        return reached;
      }
      lineFrom = reached;
    }
  }

  private static Map<String, String> fields(String[] lines) {
    Map<String, String> fields = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon <= 0 || i > FIELDS_MOST) {
        throw new Fault(i > FIELDS_MOST ? 431 : 400, "header line");
      }
      String name = lines[i].substring(0, colon);
      String value = lines[i].substring(colon + 1).strip();
      if (!name.chars().allMatch(HttpRequestParser::inName)
          || value.chars().anyMatch(c -> c < ' ' && c != '\t')) {
        throw new Fault(400, "header line");
      }
      String small = name.toLowerCase(Locale.ROOT);
      boolean single =
          small.startsWith("x-") || small.equals("host") || small.startsWith("content-");
      if (single && fields.containsKey(small)) {
        throw new Fault(400, "doubled header " + small);
      }
      fields.merge(small, value, (one, two) -> one + ", " + two);
    }
    return fields;
  }

  private static int bodyLength(Map<String, String> fields) {
    if (fields.containsKey("transfer-encoding")) {
      throw new Fault(411, "body without a length");
    }
    String text = fields.getOrDefault("content-length", "0");
    if (!Ascii.digits(text)) {
      throw new Fault(400, "Content-Length");
    }
    if (text.length() > 9 || Integer.parseInt(text) > BODY_MOST) {
      throw new Fault(413, "body too long");
    }
    return Integer.parseInt(text);
  }

  private static HttpRequest.Method method(String word) {
    if (!word.chars().allMatch(HttpRequestParser::inName)) {
      throw new Fault(400, "method");
    }
    return switch (word) {
      case "GET" -> HttpRequest.Method.GET;
      case "POST" -> HttpRequest.Method.POST;
      case "DELETE" -> HttpRequest.Method.DELETE;
      default -> HttpRequest.Method.OTHER;
    };
  }

  private static String path(String target) {
    String path = target;
    if (!path.startsWith("/")) {
      int authority = path.indexOf("://");
      int slash = authority < 0 ? -1 : path.indexOf('/', authority + 3);
      if (slash < 0) {
        throw new Fault(400, "target");
      }
      path = path.substring(slash);
    }
    int query = path.indexOf('?');
    return query < 0 ? path : path.substring(0, query);
  }

  private static boolean inName(int c) {
    return Ascii.letterOrDigit(c) || MARKS.indexOf(c) >= 0;
  }

  private static final class Fault extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    Fault(int status, String cause) {
      super(cause, null, false, false);
      this.status = status;
    }
  }
}
