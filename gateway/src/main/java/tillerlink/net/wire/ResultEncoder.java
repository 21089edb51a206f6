package tillerlink.net.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Encoder of results for clients. Validates the pages of a result as engines send them (text with a
 * tab between columns and a line feed after each row) and encodes them as JSON.
 */
public final class ResultEncoder {
  private static final int COLUMNS = 3;
  private static final String RECORDS_START = "{\"records\":[";
  private static final String RECORDS_END = "]}";
  private static final String ROW_START = "[\"";
  private static final String NEXT_ROW_START = ",[\"";
  private static final String ROW_END = "\"]";
  private static final String COLUMN_SEPARATOR = "\",\"";
  private static final String CONTROL_ESCAPE = "\\u00";
  private static final byte[] DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  private ResultEncoder() {}

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

  /**
   * Encodes all pages of a result as JSON.
   *
   * @param pages the pages in order, each of which must have passed {@link #check}
   */
  public static byte[] answer(byte[][] pages) {
    int size = 32;
    for (byte[] page : pages) {
      size += page.length + page.length / 4;
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream(size);
    write(out, RECORDS_START);
    boolean first = true;
    for (byte[] page : pages) {
      first = writeRows(out, page, first);
    }
    write(out, RECORDS_END);
    return out.toByteArray();
  }

  /**
   * Writes the rows of a page.
   *
   * @param first whether the next row is the first row of the result
   * @return whether the next row is still the first row of the result, as it is after an empty page
   */
  private static boolean writeRows(ByteArrayOutputStream out, byte[] page, boolean first) {
    boolean firstRow = first;
    boolean inRow = false;
    for (byte octet : page) {
      if (!inRow) {
        write(out, firstRow ? ROW_START : NEXT_ROW_START);
        firstRow = false;
        inRow = true;
      }
      if (octet == '\n') {
        write(out, ROW_END);
        inRow = false;
      } else if (octet == '\t') {
        write(out, COLUMN_SEPARATOR);
      } else {
        writeEscaped(out, octet);
      }
    }
    if (inRow) {
      write(out, ROW_END);
    }
    return firstRow;
  }

  private static void writeEscaped(ByteArrayOutputStream out, byte octet) {
    if (octet == '"' || octet == '\\') {
      out.write('\\');
      out.write(octet);
    } else if (octet >= 0 && octet < ' ') {
      write(out, CONTROL_ESCAPE);
      out.write(DIGITS[octet >> 4]);
      out.write(DIGITS[octet & 15]);
    } else {
      out.write(octet);
    }
  }

  private static void write(ByteArrayOutputStream out, String ascii) {
    for (int i = 0; i < ascii.length(); i++) {
      out.write(ascii.charAt(i));
    }
  }
}
