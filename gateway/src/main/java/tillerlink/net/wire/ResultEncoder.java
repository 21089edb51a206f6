package tillerlink.net.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Turns pages as engines send them (tabs between columns, a line feed after each row) into a
 * client's last answer.
 */
public final class ResultEncoder {
  private static final int COLUMNS = 3;
  private static final byte[] DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  private ResultEncoder() {}

  /**
   * Guards against handing on as whole what was spoilt on the way.
   *
   * @throws IllegalArgumentException if a page is not made of whole rows of text in three columns
   */
  public static void check(byte[] page) {
    int tabs = 0;
    for (byte b : page) {
      tabs += b == '\t' ? 1 : 0;
      if (b == '\n') {
        if (tabs != COLUMNS - 1) {
          throw new IllegalArgumentException("a row of " + (tabs + 1) + " columns");
        }
        tabs = 0;
      }
    }
    if (page.length > 0 && page[page.length - 1] != '\n') {
      throw new IllegalArgumentException("a row cut off");
    }
    Ascii.utf8(page);
  }

  public static byte[] answer(byte[][] pages) {
    int size = 32;
    for (byte[] page : pages) {
      size += page.length + page.length / 4;
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream(size);
    write(out, "{\"records\":[");
    boolean first = true;
    boolean inRow = false;
    for (byte[] page : pages) {
      for (byte b : page) {
        if (!inRow) {
          write(out, first ? "[\"" : ",[\"");
          first = false;
          inRow = true;
        }
        if (b == '\n') {
          write(out, "\"]");
          inRow = false;
        } else if (b == '\t') {
          write(out, "\",\"");
        } else {
          escape(out, b);
        }
      }
      if (inRow) {
        write(out, "\"]");
        inRow = false;
      }
    }
    write(out, "]}");
    return out.toByteArray();
  }

  private static void escape(ByteArrayOutputStream out, byte b) {
    if (b == '"' || b == '\\') {
      out.write('\\');
      out.write(b);
    } else if (b >= 0 && b < ' ') {
      write(out, "\\u00");
      out.write(DIGITS[b >> 4]);
      out.write(DIGITS[b & 15]);
    } else {
      out.write(b);
    }
  }

  private static void write(ByteArrayOutputStream out, String ascii) {
    for (int i = 0; i < ascii.length(); i++) {
      out.write(ascii.charAt(i));
    }
  }
}
