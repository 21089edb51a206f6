package tillerlink.net.wire;

/**
 * Parses the responses of one engine connection in the line protocol, without I/O: a line of four
 * words, {@code id word fields length}, then a body of that length, both ended by CR LF. Lines and
 * bodies are bounded. After an error the connection can't be used any more.
 */
public final class EngineResponseParser {
  private static final int MAX_LINE_LENGTH = 1024;
  private static final int MAX_BODY_LENGTH = 6000;
  private static final int MAX_DIGITS = 9;
  private static final int WORDS = 4;
  private static final String NO_FIELDS = "-";
  private static final String PAGE_COUNT_FIELD = "count";
  private static final String PAGE_NUMBER_FIELD = "pos";
  private static final String ABOUT_FIELD = "tell";
  private static final String LEVEL_FIELD = "reading";

  private final ByteAccumulator bytes = new ByteAccumulator();

  /** The words of the line whose body is not yet whole, or null. */
  private String[] words;

  private int bodyLength;

  /** Takes received bytes, which may end anywhere in a response. */
  public void feed(byte[] more) {
    bytes.feed(more);
  }

  /** Whether a response was received in part. */
  public boolean midway() {
    return words != null || bytes.size() > 0;
  }

  /**
   * The next response, or null while it is not whole.
   *
   * @throws IllegalArgumentException if it is malformed; the message says why
   */
  public EngineResponse next() {
    if ((words == null && !readLine()) || bytes.size() < bodyLength + 2) {
      return null;
    }
    if (bytes.at(bodyLength) != '\r' || bytes.at(bodyLength + 1) != '\n') {
      throw new MalformedProtocolException("a length that does not fit");
    }
    byte[] body = bytes.take(bodyLength);
    bytes.skip(2);
    EngineResponse response = response(words, body);
    words = null;
    return response;
  }

  private boolean readLine() {
    int end = bytes.find((byte) '\n', 0);
    if (end < 0 ? bytes.size() > MAX_LINE_LENGTH : end > MAX_LINE_LENGTH) {
      throw new MalformedProtocolException("a line too long");
    }
    if (end < 0) {
      return false;
    }
    if (end == 0 || bytes.at(end - 1) != '\r') {
      throw new MalformedProtocolException("a line without CR LF");
    }
    words = bytes.text(end - 1).split(" ", -1);
    bytes.skip(end + 1);
    if (words.length != WORDS || words[0].isEmpty()) {
      throw new MalformedProtocolException("a line of " + words.length + " words");
    }
    bodyLength = wholeNumber(words[3]);
    if (bodyLength > MAX_BODY_LENGTH) {
      throw new MalformedProtocolException("a body too long");
    }
    return true;
  }

  private static EngineResponse response(String[] words, byte[] body) {
    EngineResponse.Word word = EngineResponse.Word.ofWire(words[1]);
    int number = -1;
    EngineResponse.About about = null;
    double level = 0;
    for (String field : words[2].equals(NO_FIELDS) ? new String[0] : words[2].split(",")) {
      int sign = field.indexOf('=');
      if (sign <= 0) {
        throw new MalformedProtocolException("a field without a value");
      }
      String value = field.substring(sign + 1);
      switch (field.substring(0, sign)) {
        case PAGE_COUNT_FIELD, PAGE_NUMBER_FIELD -> number = wholeNumber(value);
        case ABOUT_FIELD -> about = EngineResponse.About.ofWire(value);
        case LEVEL_FIELD -> level = finiteNumber(value);
        // Unknown fields are ignored.
        default -> {}
      }
    }
    if (word == EngineResponse.Word.OK || word == EngineResponse.Word.BATCH) {
      ResultEncoder.check(body);
    }
    return new EngineResponse(words[0], word, number, about, level, body);
  }

  private static double finiteNumber(String text) {
    double number = Double.parseDouble(text);
    if (!Double.isFinite(number)) {
      throw new MalformedProtocolException("not a number");
    }
    return number;
  }

  private static int wholeNumber(String text) {
    if (text.length() > MAX_DIGITS || !Ascii.digits(text)) {
      throw new MalformedProtocolException("not a whole number");
    }
    return Integer.parseInt(text);
  }
}
