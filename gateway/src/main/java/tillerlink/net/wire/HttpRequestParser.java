package tillerlink.net.wire;

/**
 * Parser of the requests of one client connection (RFC 9112); it does no I/O. The lengths of the
 * request line, the head and the body and the number of header fields are bounded. After an error
 * nothing more is parsed.
 */
public final class HttpRequestParser {
  private static final int MAX_REQUEST_LINE_BYTES = 4096;
  private static final int MAX_HEAD_BYTES = 16_384;

  /** The number of empty lines before a request that are ignored (RFC 9112, section 2.2). */
  private static final int MAX_EMPTY_LINES = 4;

  private final ByteAccumulator bytes = new ByteAccumulator();
  private boolean failed;

  /** The head of the request whose body has not been received completely, or null. */
  private HttpRequestHead head;

  /** The number of empty lines that were received since the last request. */
  private int emptyLines;

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

  /** Returns the number of bytes of memory that the input not yet consumed takes. */
  public int retainedBytes() {
    return bytes.capacity() + (head == null ? 0 : head.retainedBytes());
  }

  /** Drops all input that was not consumed. Nothing more is parsed. */
  public void discard() {
    failed = true;
    head = null;
    bytes.clear();
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
      if ((head == null && !readHead()) || bytes.size() < head.bodyLength()) {
        return null;
      }
      HttpRequest request = head.withBody(bytes.consume(head.bodyLength()));
      head = null;
      continueExpected = false;
      return request;
    } catch (BadRequestException e) {
      discard();
      return new HttpParseError(e.status(), e.problem(), e.getMessage());
    }
  }

  private boolean readHead() {
    skipEmptyLines();
    int end = headEnd();
    if (end < 0) {
      return false;
    }
    head = HttpRequestHead.parse(bytes.peekText(end));
    bytes.skip(end);
    scanned = 0;
    emptyLines = 0;
    continueExpected = head.expectsContinue() && bytes.size() < head.bodyLength();
    return true;
  }

  /**
   * Skips the empty lines that a client may send before a request. Their number is bounded, so that
   * a client cannot keep its connection by sending nothing else.
   */
  private void skipEmptyLines() {
    while (bytes.size() >= 2 && bytes.at(0) == '\r' && bytes.at(1) == '\n') {
      bytes.skip(2);
      if (++emptyLines > MAX_EMPTY_LINES) {
        throw emptyRequestLine();
      }
    }
    if (bytes.size() > 0 && bytes.at(0) == '\n') {
      throw emptyRequestLine();
    }
  }

  private static BadRequestException emptyRequestLine() {
    return new BadRequestException(
        HttpStatus.BAD_REQUEST,
        "request line",
        "expected method, target and version in request line, got an empty line");
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
}
