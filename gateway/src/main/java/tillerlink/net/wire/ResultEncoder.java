package tillerlink.net.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Checks the pages of a result as engines send them (text with a tab between columns and a line
 * feed after each row) and encodes them as the JSON of a client's response.
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
   * Checks one page, so that damaged data is not passed on as whole.
   *
   * @throws IllegalArgumentException if it does not consist of whole rows of UTF-8 text in three
   *     columns; the message says why
   */
  public static void check(byte[] page) {
    int tabs = 0;
    for (byte octet : page) {
      tabs += octet == '\t' ? 1 : 0;
      if (octet == '\n') {
        if (tabs != COLUMNS - 1) {
          throw new MalformedProtocolException("a row of " + (tabs + 1) + " columns");
        }
        tabs = 0;
      }
    }
    if (page.length > 0 && page[page.length - 1] != '\n') {
      throw new MalformedProtocolException("a row cut off");
    }
    Ascii.utf8(page);
  }

  /** The JSON of all pages, which must have been checked. */
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

  /** Writes a page; tells whether a row that follows is still the first of all. */
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
