package tillerlink.net.wire;

/** Makes answers of the bytes of one engine connection; knows no socket. */
public final class EngineResponseParser {
  private static final int LINE_MOST = 1024;
  private static final int BODY_MOST = 6000;

  private final ByteAccumulator bytes = new ByteAccumulator();
  private String[] words;
  private int length;

  public void feed(byte[] more) {
    bytes.feed(more);
  }

  /** Whether an answer has begun to come and is not yet whole. */
  public boolean midway() {
    return words != null || bytes.size() > 0;
  }

  /**
   * The next answer, or null while it is not whole.
   *
   * @throws IllegalArgumentException if the bytes are none; the connection can't be used any more
   */
  public EngineResponse next() {
    if (words == null && !readLine() || bytes.size() < length + 2) {
      return null;
    }
    if (bytes.at(length) != '\r' || bytes.at(length + 1) != '\n') {
      throw new IllegalArgumentException("a length that does not fit");
    }
    byte[] body = bytes.take(length);
    bytes.skip(2);
    EngineResponse answer = answer(words, body);
    words = null;
    return answer;
  }

  private boolean readLine() {
    int end = bytes.find((byte) '\n', 0);
    if (end < 0 ? bytes.size() > LINE_MOST : end > LINE_MOST) {
      throw new IllegalArgumentException("a line too long");
    }
    if (end < 0) {
      return false;
    }
    if (end == 0 || bytes.at(end - 1) != '\r') {
      throw new IllegalArgumentException("a line without CR LF");
    }
    words = bytes.text(end - 1).split(" ", -1);
    bytes.skip(end + 1);
    if (words.length != 4 || words[0].isEmpty()) {
      throw new IllegalArgumentException("a line of " + words.length + " words");
    }
    length = whole(words[3]);
    if (length > BODY_MOST) {
      throw new IllegalArgumentException("a body too long");
    }
    return true;
  }

  private static EngineResponse answer(String[] words, byte[] body) {
    EngineResponse.Word word =
        switch (words[1]) {
          case "ok" -> EngineResponse.Word.OK;
          case "refused" -> EngineResponse.Word.REFUSED;
          case "error" -> EngineResponse.Word.ERROR;
          case "stale" -> EngineResponse.Word.STALE;
          case "progress" -> EngineResponse.Word.PROGRESS;
          case "batch" -> EngineResponse.Word.BATCH;
          case "yes" -> EngineResponse.Word.YES;
          default -> throw new IllegalArgumentException("an unknown word");
        };
    int number = -1;
    EngineResponse.About about = null;
    double level = 0;
    for (String field : words[2].equals("-") ? new String[0] : words[2].split(",")) {
      int sign = field.indexOf('=');
      if (sign <= 0) {
        throw new IllegalArgumentException("a field without a value");
      }
      String value = field.substring(sign + 1);
      switch (field.substring(0, sign)) {
        case "count", "pos" -> number = whole(value);
        case "tell" -> about = about(value);
        case "reading" -> level = amount(value);
        default -> {}
      }
    }
    if (word == EngineResponse.Word.OK || word == EngineResponse.Word.BATCH) {
      ResultEncoder.check(body);
    }
    return new EngineResponse(words[0], word, number, about, level, body);
  }

  private static EngineResponse.About about(String value) {
    return switch (value) {
      case "frac" -> EngineResponse.About.SHARE_DONE;
      case "missing" -> EngineResponse.About.MEGABYTES_MISSING;
      case "parked" -> EngineResponse.About.PARKED;
      default -> null;
    };
  }

  private static double amount(String text) {
    double amount = Double.parseDouble(text);
    if (!Double.isFinite(amount)) {
      throw new IllegalArgumentException("not a number");
    }
    return amount;
  }

  private static int whole(String text) {
    if (text.length() > 9 || !Ascii.digits(text)) {
      throw new IllegalArgumentException("not a whole number");
    }
    return Integer.parseInt(text);
  }
}
