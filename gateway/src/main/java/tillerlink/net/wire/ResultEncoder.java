package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;

/**
 * Encoder of one result for a client. It reads the pages of the result as engines send them (text
 * with a tab between columns and a line feed after each row) and encodes them as JSON.
 */
public final class ResultEncoder implements ResponseWriter.ContentReader {
  private static final int COLUMNS = 3;
  private static final String CONTROL_ESCAPE = "\\u00";
  private static final byte[] RECORDS_START = ascii("{\"records\":[");
  private static final byte[] RECORDS_END = ascii("]}");
  private static final byte[] ROW_START = ascii("[\"");
  private static final byte[] NEXT_ROW_START = ascii(",[\"");
  private static final byte[] ROW_END = ascii("\"]");
  private static final byte[] COLUMN_SEPARATOR = ascii("\",\"");
  private static final byte[] ESCAPED_QUOTE = ascii("\\\"");
  private static final byte[] ESCAPED_BACKSLASH = ascii("\\\\");
  private static final byte[][] ESCAPED_CONTROLS = escapedControls();

  private final byte[][] pages;
  private final int length;
  private int encoded;

  /** The page that is read next, and the position in it. */
  private int pageIndex;

  private int position;

  private boolean started;
  private boolean ended;
  private boolean inRow;

  /** Whether a row was encoded before. */
  private boolean rowsBefore;

  /** The bytes that are encoded next: a part of a page, or a token of JSON. */
  private byte[] token = RECORDS_START;

  private int tokenStart;
  private int tokenEnd;

  /**
   * Creates an encoder of all pages of a result.
   *
   * @param pages the pages in order, each of which must have passed {@link #check}
   */
  public ResultEncoder(byte[][] pages) {
    this(pages, encodedLength(pages));
  }

  private ResultEncoder(byte[][] pages, int length) {
    this.pages = pages;
    this.length = length;
  }

  private static int encodedLength(byte[][] pages) {
    ResultEncoder encoder = new ResultEncoder(pages, 0);
    int length = 0;
    while (encoder.nextToken()) {
      length += encoder.tokenEnd - encoder.tokenStart;
    }
    return length;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[][] escapedControls() {
    byte[][] escaped = new byte[' '][];
    for (int control = 0; control < escaped.length; control++) {
      escaped[control] =
          ascii(
              CONTROL_ESCAPE
                  + Character.forDigit(control >> 4, 16)
                  + Character.forDigit(control & 15, 16));
    }
    return escaped;
  }

  /**
   * Validates one page, so that corrupted data is not forwarded as a complete result.
   *
   * @throws IllegalArgumentException if the page does not consist of complete rows of UTF-8 text in
   *     three columns; the exception's message states the reason
   */
  public static void check(byte[] page) {
    int tabs = 0;
    for (byte octet : page) {
      tabs += octet == '\t' ? 1 : 0;
      if (octet == '\n') {
        if (tabs != COLUMNS - 1) {
          throw new MalformedProtocolException(
              "expected " + COLUMNS + " columns in engine row, got " + (tabs + 1));
        }
        tabs = 0;
      }
    }
    if (page.length > 0 && page[page.length - 1] != '\n') {
      throw new MalformedProtocolException("last row of the page does not end with a line feed");
    }
    Ascii.decodeUtf8(page);
  }

  @Override
  public int remaining() {
    return length - encoded;
  }

  @Override
  public void read(byte[] target, int start, int count) {
    int end = start + count;
    for (int index = start; index < end; ) {
      if (tokenStart == tokenEnd) {
        nextToken();
      }
      int copied = Math.min(tokenEnd - tokenStart, end - index);
      System.arraycopy(token, tokenStart, target, index, copied);
      tokenStart += copied;
      index += copied;
    }
    encoded += count;
  }

  /**
   * Determines the token that is encoded next.
   *
   * @return false if the result is encoded completely
   */
  private boolean nextToken() {
    if (!started) {
      started = true;
      return setToken(RECORDS_START);
    }
    while (pageIndex < pages.length && position == pages[pageIndex].length) {
      pageIndex++;
      position = 0;
    }
    if (pageIndex < pages.length) {
      return nextRowToken(pages[pageIndex]);
    }
    if (ended) {
      return false;
    }
    ended = true;
    return setToken(RECORDS_END);
  }

  private boolean nextRowToken(byte[] page) {
    if (!inRow) {
      inRow = true;
      byte[] rowStart = rowsBefore ? NEXT_ROW_START : ROW_START;
      rowsBefore = true;
      return setToken(rowStart);
    }
    int textEnd = position;
    while (textEnd < page.length && isPlain(page[textEnd])) {
      textEnd++;
    }
    if (textEnd > position) {
      token = page;
      tokenStart = position;
      tokenEnd = textEnd;
      position = textEnd;
      return true;
    }
    byte octet = page[position];
    position++;
    inRow = octet != '\n';
    return setToken(encodedForm(octet));
  }

  private boolean setToken(byte[] bytes) {
    token = bytes;
    tokenStart = 0;
    tokenEnd = bytes.length;
    return true;
  }

  /** Returns whether an octet is encoded as itself. The octets of UTF-8 sequences are negative. */
  private static boolean isPlain(byte octet) {
    return (octet >= ' ' || octet < 0) && octet != '"' && octet != '\\';
  }

  private static byte[] encodedForm(byte octet) {
    return switch (octet) {
      case '\n' -> ROW_END;
      case '\t' -> COLUMN_SEPARATOR;
      case '"' -> ESCAPED_QUOTE;
      case '\\' -> ESCAPED_BACKSLASH;
      default -> ESCAPED_CONTROLS[octet];
    };
  }
}
