package tillerlink.trace;

import de.siegmar.fastcsv.reader.CsvParseException;
import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.CsvRecord;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The columns of one line as bytes, taken apart in place; one that bears quotes goes through the
 * CSV library.
 */
final class Row {
  private static final int COLUMNS_MOST = 512;
  private static final int DIGITS_MOST = 18;
  private static final long FNV_START = 0xcbf29ce484222325L;
  private static final long FNV_STEP = 0x100000001b3L;

  private final byte delimiter;
  private final CsvReader.CsvReaderBuilder quoted;
  private final int[] starts = new int[COLUMNS_MOST + 1];
  private byte[] bytes;
  private int count;

  Row(char delimiter) {
    this.delimiter = (byte) delimiter;
    quoted =
        CsvReader.builder()
            .fieldSeparator(delimiter)
            .skipEmptyLines(false)
            .allowExtraCharsAfterClosingQuote(false)
            .maxBufferSize(2 * Lines.LINE_MOST);
  }

  /** Takes a line apart; what is wrong with it, or null. */
  Skip split(byte[] line, int length) {
    bytes = line;
    count = 0;
    int from = 0;
    for (int i = 0; i <= length; i++) {
      if (i < length && line[i] == '"') {
        return splitQuoted(new String(line, 0, length, StandardCharsets.UTF_8));
      }
      if (i == length || line[i] == delimiter) {
        if (count == COLUMNS_MOST) {
          return Skip.TOO_MANY_COLUMNS;
        }
        starts[count++] = from;
        from = i + 1;
      }
    }
    starts[count] = length + 1;
    return null;
  }

  /**
   * Guards against a quote that does not end: it would take the lines behind it along, so each is
   * read alone.
   */
  private Skip splitQuoted(String line) {
    CsvRecord record;
    try {
      long marks = line.chars().filter(c -> c == '"').count();
      if (marks % 2 != 0) {
        return Skip.QUOTE_OPEN;
      }
      record = quoted.ofSingleCsvRecord(line);
    } catch (CsvParseException e) {
      return Skip.QUOTE_OPEN;
    }
    if (record.getFieldCount() > COLUMNS_MOST) {
      return Skip.TOO_MANY_COLUMNS;
    }
    byte[][] parts =
        record.getFields().stream()
            .map(field -> field.getBytes(StandardCharsets.UTF_8))
            .toArray(byte[][]::new);
    bytes = new byte[Arrays.stream(parts).mapToInt(part -> part.length + 1).sum()];
    int at = 0;
    for (count = 0; count < parts.length; count++) {
      starts[count] = at;
      System.arraycopy(parts[count], 0, bytes, at, parts[count].length);
      at += parts[count].length + 1;
    }
    starts[count] = at;
    return null;
  }

  int columns() {
    return count;
  }

  int length(int column) {
    return starts[column + 1] - 1 - starts[column];
  }

  String text(int column) {
    return new String(bytes, starts[column], length(column), StandardCharsets.UTF_8);
  }

  boolean is(int column, byte[] value) {
    return Arrays.equals(
        bytes, starts[column], starts[column] + length(column), value, 0, value.length);
  }

  /** A hash of a column's bytes that is the same on every machine (FNV-1a, then mixed). */
  long hash(int column) {
    long hash = FNV_START;
    for (int i = starts[column]; i < starts[column + 1] - 1; i++) {
      hash = (hash ^ (bytes[i] & 255)) * FNV_STEP;
    }
    return mixed(hash);
  }

  static long mixed(long hash) {
    long h = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
    h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
    return h ^ h >>> 33;
  }

  /** A number, or NaN if the column holds none; whole ones, the usual, are read in place. */
  double number(int column) {
    int from = starts[column];
    int to = starts[column + 1] - 1;
    boolean minus = from < to && bytes[from] == '-';
    long whole = 0;
    int i = minus ? from + 1 : from;
    int first = i;
    while (i < to && bytes[i] >= '0' && bytes[i] <= '9' && i - first < DIGITS_MOST) {
      whole = whole * 10 + bytes[i++] - '0';
    }
    if (i == to && i > first) {
      return minus ? -whole : whole;
    }
    return decimal(text(column));
  }

  /** Guards against what a parser of numbers would take (0x1p3, 1d, NaN) and no trace means. */
  private static double decimal(String text) {
    String plain = text.strip();
    if (plain.isEmpty()
        || plain.length() > 40
        || !plain
            .chars()
            .allMatch(
                c ->
                    c >= '0' && c <= '9'
                        || c == '.'
                        || c == '-'
                        || c == '+'
                        || c == 'e'
                        || c == 'E')) {
      return Double.NaN;
    }
    try {
      double number = Double.parseDouble(plain);
      return Double.isInfinite(number) ? Double.NaN : number;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
