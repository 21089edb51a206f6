package tillerlink.net.wire;

/**
 * Parser of the responses of one engine connection in the line protocol; it does no I/O. A response
 * is a line of four words, {@code id word fields length}, followed by a body of that length; both
 * end with CR LF. The lengths of lines and bodies are bounded. After an error the connection must
 * not be used any more.
 */
public final class EngineResponseParser {
  private static final int MAX_LINE_BYTES = 1024;
  private static final int MAX_BODY_BYTES = 6000;
  private static final int MAX_DIGITS = 9;
  private static final int WORD_COUNT = 4;
  private static final String NO_FIELDS = "-";
  private static final String PAGE_COUNT_FIELD = "count";
  private static final String PAGE_NUMBER_FIELD = "pos";
  private static final String ABOUT_FIELD = "tell";
  private static final String LEVEL_FIELD = "reading";

  private final ByteAccumulator bytes = new ByteAccumulator();

  /** The words of the line whose body has not been received completely, or null. */
  private String[] words;

  /** The length of that body, in bytes. */
  private int bodyLength;

  /** Adds received bytes, which may end at any point of a response. */
  public void feed(byte[] more) {
    bytes.append(more);
  }

  /** Returns whether a response was received in part. */
  public boolean hasPartialResponse() {
    return words != null || bytes.size() > 0;
  }

  /**
   * Returns the next response.
   *
   * @return null if the next response has not been received completely
   * @throws IllegalArgumentException if the response is malformed; the exception's message states
   *     the reason
   */
  public EngineResponse next() {
    if ((words == null && !readLine()) || bytes.size() < bodyLength + 2) {
      return null;
    }
    if (bytes.at(bodyLength) != '\r' || bytes.at(bodyLength + 1) != '\n') {
      throw new MalformedProtocolException(
          "expected CR LF after a body of " + bodyLength + " bytes");
    }
    byte[] body = bytes.consume(bodyLength);
    bytes.skip(2);
    EngineResponse response = toResponse(words, body);
    words = null;
    return response;
  }

  private boolean readLine() {
    int end = bytes.indexOf((byte) '\n', 0);
    if (end < 0 ? bytes.size() > MAX_LINE_BYTES : end > MAX_LINE_BYTES) {
      throw new MalformedProtocolException("response line exceeds " + MAX_LINE_BYTES + " bytes");
    }
    if (end < 0) {
      return false;
    }
    if (end == 0 || bytes.at(end - 1) != '\r') {
      throw new MalformedProtocolException("response line does not end with CR LF");
    }
    words = bytes.peekText(end - 1).split(" ", -1);
    bytes.skip(end + 1);
    if (words.length != WORD_COUNT || words[0].isEmpty()) {
      throw new MalformedProtocolException(
          "expected "
              + WORD_COUNT
              + " words with a non-empty id in response line, got "
              + words.length);
    }
    bodyLength = parseInteger(words[3]);
    if (bodyLength > MAX_BODY_BYTES) {
      throw new MalformedProtocolException(
          "body length " + bodyLength + " exceeds " + MAX_BODY_BYTES);
    }
    return true;
  }

  private static EngineResponse toResponse(String[] words, byte[] body) {
    EngineResponse.Word word = EngineResponse.Word.ofWire(words[1]);
    int number = -1;
    EngineResponse.About about = null;
    double level = 0;
    for (String field : words[2].equals(NO_FIELDS) ? new String[0] : words[2].split(",")) {
      int separator = field.indexOf('=');
      if (separator <= 0) {
        throw new MalformedProtocolException(
            "expected name=value in response field, got '" + field + "'");
      }
      String value = field.substring(separator + 1);
      switch (field.substring(0, separator)) {
        case PAGE_COUNT_FIELD, PAGE_NUMBER_FIELD -> number = parseInteger(value);
        case ABOUT_FIELD -> about = EngineResponse.About.ofWire(value);
        case LEVEL_FIELD -> level = parseFiniteNumber(value);
        // Unknown fields are ignored.
        default -> {}
      }
    }
    if (word == EngineResponse.Word.OK || word == EngineResponse.Word.BATCH) {
      ResultEncoder.check(body);
    }
    return new EngineResponse(words[0], word, number, about, level, body);
  }

  private static double parseFiniteNumber(String text) {
    double number = Double.parseDouble(text);
    if (!Double.isFinite(number)) {
      throw new MalformedProtocolException("expected a finite number, got '" + text + "'");
    }
    return number;
  }

  private static int parseInteger(String text) {
    if (text.length() > MAX_DIGITS || !Ascii.isDigits(text)) {
      throw new MalformedProtocolException(
          "expected an integer of at most " + MAX_DIGITS + " digits, got '" + text + "'");
    }
    return Integer.parseInt(text);
  }
}
