package tillerlink.net.wire;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parser of the requests of one client connection (RFC 9112); it does no I/O. The lengths of the
 * request line, the head and the body and the number of header fields are bounded. After an error
 * nothing more is parsed.
 */
public final class HttpRequestParser {
  private static final int MAX_REQUEST_LINE_BYTES = 4096;
  private static final int MAX_HEAD_BYTES = 16_384;
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

  private static final byte[] NO_BODY = new byte[0];

  private final ByteAccumulator bytes = new ByteAccumulator();
  private boolean failed;

  /** The request whose body has not been received completely, or null. */
  private HttpRequest head;

  /** The length of that body, in bytes. */
  private int bodyLength;

  /** The index of the first line that was not yet searched for the end of the head. */
  private int scanned;

  private boolean continueExpected;

  /** Adds received bytes, which may end at any point of a request. */
  public void feed(byte[] more) {
    if (!failed) {
      bytes.append(more);
    }
  }

  /**
   * Returns the number of bytes that were not yet consumed. The bytes of one request are bounded,
   * so any bytes beyond that bound belong to pipelined requests.
   */
  public int unconsumedBytes() {
    return bytes.size();
  }

  /** Returns the number of bytes of memory that the bytes not yet consumed take. */
  public int retainedBytes() {
    return bytes.capacity();
  }

  /** Returns whether a request was received in part. */
  public boolean hasPartialRequest() {
    return !failed && (head != null || bytes.size() > 0);
  }

  /**
   * Returns whether the client waits for the interim response 100 Continue before it sends the
   * body. Returns true at most once per request, so that the interim response is not sent twice.
   */
  public boolean takeContinueExpected() {
    boolean expected = continueExpected;
    continueExpected = false;
    return expected;
  }

  /**
   * Returns the next request, or the error after which nothing more is parsed.
   *
   * @return null if the next request has not been received completely, and after an error
   */
  public HttpParseResult next() {
    if (failed) {
      return null;
    }
    try {
      if ((head == null && !readHead()) || bytes.size() < bodyLength) {
        return null;
      }
      byte[] body = bytes.consume(bodyLength);
      HttpRequest request =
          new HttpRequest(head.method(), head.path(), head.fields(), body, head.closesConnection());
      head = null;
      continueExpected = false;
      return request;
    } catch (BadRequestException e) {
      failed = true;
      bytes.skip(bytes.size());
      return new HttpParseError(e.status, e.problem, e.getMessage());
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
    String[] lines = bytes.peekText(end).split("\r?\n");
    bytes.skip(end);
    scanned = 0;
    String[] requestLine = parseRequestLine(lines[0]);
    boolean http10 = requestLine[2].equals(HTTP_1_0);
    Map<String, String> fields = parseFields(lines);
    if (!http10 && !fields.containsKey(HOST)) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST, "no Host", "HTTP/1.1 request without a Host header");
    }
    bodyLength = bodyLength(fields);
    head =
        new HttpRequest(
            method(requestLine[0]),
            path(requestLine[1]),
            fields,
            NO_BODY,
            wantsClose(http10, fields));
    continueExpected =
        EXPECT_CONTINUE.equalsIgnoreCase(fields.get(EXPECT)) && bytes.size() < bodyLength;
    return true;
  }

  /**
   * Returns the index after the blank line that ends the head, or -1 if that line was not received
   * yet.
   */
  private int headEnd() {
    int lineFrom = scanned;
    while (true) {
      int lineTo = bytes.indexOf((byte) '\n', lineFrom);
      int reached = lineTo < 0 ? bytes.size() : lineTo + 1;
      if (lineFrom == 0 && reached > MAX_REQUEST_LINE_BYTES) {
        throw new BadRequestException(
            HttpStatus.URI_TOO_LONG,
            "request line too long",
            "request line exceeds " + MAX_REQUEST_LINE_BYTES + " bytes");
      }
      if (reached > MAX_HEAD_BYTES) {
        throw new BadRequestException(
            HttpStatus.HEADER_FIELDS_TOO_LARGE,
            "head too long",
            "request head exceeds " + MAX_HEAD_BYTES + " bytes");
      }
      if (lineTo < 0) {
        scanned = lineFrom;
        return -1;
      }
      if (lineFrom > 0 && isBlankLine(lineFrom, lineTo)) {
        return reached;
      }
      lineFrom = reached;
    }
  }

  private boolean isBlankLine(int from, int to) {
    return to == from || (to == from + 1 && bytes.at(from) == '\r');
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

  private static Map<String, String> parseFields(String[] lines) {
    Map<String, String> fields = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      if (i > MAX_FIELDS) {
        throw new BadRequestException(
            HttpStatus.HEADER_FIELDS_TOO_LARGE,
            "header line",
            "request has more than " + MAX_FIELDS + " header fields");
      }
      addField(fields, lines[i]);
    }
    return fields;
  }

  private static void addField(Map<String, String> fields, String line) {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      throw new BadRequestException(
          HttpStatus.BAD_REQUEST, "header line", "expected 'name: value', got '" + line + "'");
    }
    String name = line.substring(0, colon);
    String value = line.substring(colon + 1).strip();
    if (!isToken(name) || value.chars().anyMatch(HttpRequestParser::isControl)) {
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
    return text.chars().allMatch(HttpRequestParser::isTokenCharacter);
  }

  private static boolean isTokenCharacter(int character) {
    return Ascii.isLetterOrDigit(character) || TOKEN_MARKS.indexOf(character) >= 0;
  }

  private static boolean isControl(int character) {
    return character < ' ' && character != '\t';
  }

  /** Exception for a request that cannot be parsed, with the status and problem of the response. */
  private static final class BadRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;
    private final String problem;

    BadRequestException(int status, String problem, String message) {
      super(message, null, false, false);
      this.status = status;
      this.problem = problem;
    }
  }
}
