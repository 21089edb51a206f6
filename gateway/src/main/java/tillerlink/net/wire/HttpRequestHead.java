package tillerlink.net.wire;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The head of a client's request: the request line and the header fields. The number of fields and
 * the stated length of the body are bounded; the length of the head is bounded by the caller.
 *
 * @param path the path of the request target, without the query
 * @param fields the header fields by name in lower case
 * @param closesConnection whether the client wants the connection to be closed after the response
 * @param bodyLength the stated length of the body, in bytes
 */
record HttpRequestHead(
    HttpRequest.Method method,
    String path,
    Map<String, String> fields,
    boolean closesConnection,
    int bodyLength) {
  private static final int MAX_FIELDS = 64;
  private static final int MAX_BODY_BYTES = 131_072;
  private static final int MAX_LENGTH_DIGITS = 9;

  /** The characters allowed in a token besides letters and digits (RFC 9110, section 5.6.2). */
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

  private static final String HTTP = "HTTP/";
  private static final String HTTP_1_0 = "HTTP/1.0";
  private static final String HTTP_1_1 = "HTTP/1.1";
  private static final String SCHEME_END = "://";

  private static final String HOST = "host";
  private static final String CONNECTION = "connection";
  private static final String KEEP_ALIVE = "keep-alive";
  private static final String CLOSE = "close";
  private static final String EXPECT = "expect";
  private static final String EXPECT_CONTINUE = "100-continue";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final String CONTENT_LENGTH = "content-length";

  /** Header fields whose names start with this prefix may occur only once. */
  private static final String CONTENT_PREFIX = "content-";

  /** The prefix of the gateway's own header fields, which may occur only once. */
  private static final String OWN_PREFIX = "x-";

  /**
   * Parses a head.
   *
   * @param head the request line, the header fields and the blank line, each with its line feed
   * @throws BadRequestException if it is not a valid head, or if a bound is exceeded
   */
  static HttpRequestHead parse(String head) {
    int firstLineTo = head.indexOf('\n');
    String[] requestLine = parseRequestLine(line(head, 0, firstLineTo));
    boolean http10 = requestLine[2].equals(HTTP_1_0);
    Map<String, String> fields = parseFields(head, firstLineTo + 1);
    if (!http10 && !fields.containsKey(HOST)) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST, "no Host", "HTTP/1.1 request without a Host header");
    }
    int bodyLength = bodyLength(fields);
    return new HttpRequestHead(
        method(requestLine[0]),
        path(requestLine[1]),
        fields,
        wantsClose(http10, fields),
        bodyLength);
  }

  /** Returns the request with this head. */
  HttpRequest withBody(byte[] body) {
    return new HttpRequest(method, path, fields, body, closesConnection);
  }

  /** Returns whether the client waits for the interim response 100 Continue. */
  boolean expectsContinue() {
    return EXPECT_CONTINUE.equalsIgnoreCase(fields.get(EXPECT));
  }

  /** Returns the number of bytes of memory that it takes as objects. */
  int retainedBytes() {
    return HttpRequest.headBytes(path, fields);
  }

  /** Splits a request line into method, target and version. */
  private static String[] parseRequestLine(String line) {
    String[] words = line.split(" ", -1);
    if (words.length != 3 || words[0].isEmpty() || words[1].isEmpty()) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST,
          "request line",
          "expected method, target and version in request line, got '" + line + "'");
    }
    String version = words[2];
    if (!version.equals(HTTP_1_1) && !version.equals(HTTP_1_0)) {
      throw new BadRequestException(
          version.startsWith(HTTP) ? HttpStatus.VERSION_NOT_SUPPORTED : HttpStatus.BAD_REQUEST,
          "version",
          "expected version " + HTTP_1_1 + " or " + HTTP_1_0 + ", got '" + version + "'");
    }
    return words;
  }

  /** Parses the header fields, which follow the request line at the given index. */
  private static Map<String, String> parseFields(String head, int start) {
    Map<String, String> fields = new HashMap<>();
    int lineFrom = start;
    for (int count = 1; !isBlankLine(head, lineFrom); count++) {
      if (count > MAX_FIELDS) {
        throw new BadRequestException(
            HttpStatus.HEADER_FIELDS_TOO_LARGE,
            "header line",
            "request has more than " + MAX_FIELDS + " header fields");
      }
      int lineTo = head.indexOf('\n', lineFrom);
      addField(fields, line(head, lineFrom, lineTo));
      lineFrom = lineTo + 1;
    }
    return fields;
  }

  private static boolean isBlankLine(String head, int from) {
    return line(head, from, head.indexOf('\n', from)).isEmpty();
  }

  /** Returns the line that ends before a line feed, without the carriage return at its end. */
  private static String line(String head, int from, int lineFeed) {
    int to = lineFeed > from && head.charAt(lineFeed - 1) == '\r' ? lineFeed - 1 : lineFeed;
    return head.substring(from, to);
  }

  private static void addField(Map<String, String> fields, String line) {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST, "header line", "expected 'name: value', got '" + line + "'");
    }
    String name = line.substring(0, colon);
    String value = line.substring(colon + 1).strip();
    if (!isToken(name) || value.chars().anyMatch(HttpRequestHead::isControl)) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST, "header line", "invalid character in header line '" + line + "'");
    }
    String lowerCaseName = name.toLowerCase(Locale.ROOT);
    if (isSingle(lowerCaseName) && fields.containsKey(lowerCaseName)) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST,
          "doubled header " + lowerCaseName,
          "header " + lowerCaseName + " occurs more than once");
    }
    fields.merge(lowerCaseName, value, (first, second) -> first + ", " + second);
  }

  private static boolean isSingle(String lowerCaseName) {
    return lowerCaseName.startsWith(OWN_PREFIX)
        || lowerCaseName.equals(HOST)
        || lowerCaseName.startsWith(CONTENT_PREFIX);
  }

  private static int bodyLength(Map<String, String> fields) {
    if (fields.containsKey(TRANSFER_ENCODING)) {
      throw new BadRequestException(
          HttpStatus.LENGTH_REQUIRED,
          "body without a length",
          "transfer-encoding is not supported; expected content-length");
    }
    String text = fields.getOrDefault(CONTENT_LENGTH, "0");
    if (!Ascii.isDigits(text)) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST,
          "Content-Length",
          "content-length must consist of digits, got '" + text + "'");
    }
    if (text.length() > MAX_LENGTH_DIGITS || Integer.parseInt(text) > MAX_BODY_BYTES) {
      throw new BadRequestException(
          HttpStatus.CONTENT_TOO_LARGE,
          "body too long",
          "content-length " + text + " exceeds " + MAX_BODY_BYTES);
    }
    return Integer.parseInt(text);
  }

  private static boolean wantsClose(boolean http10, Map<String, String> fields) {
    String connection = fields.getOrDefault(CONNECTION, "").toLowerCase(Locale.ROOT);
    return http10 ? !connection.contains(KEEP_ALIVE) : connection.contains(CLOSE);
  }

  private static HttpRequest.Method method(String word) {
    if (!isToken(word)) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST, "method", "expected a token as the method, got '" + word + "'");
    }
    return HttpRequest.Method.ofWire(word);
  }

  /** Returns the path of a target in origin form or absolute form (RFC 9112, section 3.2). */
  private static String path(String target) {
    String path = target;
    if (!path.startsWith("/")) {
      int authority = path.indexOf(SCHEME_END);
      int slash = authority < 0 ? -1 : path.indexOf('/', authority + SCHEME_END.length());
      if (slash < 0) {
        throw new BadRequestException(
            HttpStatus.BAD_REQUEST,
            "target",
            "expected a target in origin form or absolute form, got '" + target + "'");
      }
      path = path.substring(slash);
    }
    int query = path.indexOf('?');
    return query < 0 ? path : path.substring(0, query);
  }

  private static boolean isToken(String text) {
    return text.chars().allMatch(HttpRequestHead::isTokenCharacter);
  }

  private static boolean isTokenCharacter(int character) {
    return Ascii.isLetterOrDigit(character) || TOKEN_MARKS.indexOf(character) >= 0;
  }

  private static boolean isControl(int character) {
    return character < ' ' && character != '\t';
  }
}
