package tillerlink.trace;

import de.siegmar.fastcsv.reader.CsvParseException;
import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.CsvRecord;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The columns of one line as bytes, split in place. A line with quotes goes through the CSV
 * library.
 */
final class CsvRow {
  private static final int MAX_COLUMNS = 512;
  private static final int MAX_DIGITS = 18;
  private static final int MAX_DECIMAL_LENGTH = 40;
  private static final String DECIMAL_CHARACTERS = "0123456789.-+eE";
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final byte delimiter;
  private final CsvReader.CsvReaderBuilder quoted;
  private final int[] starts = new int[MAX_COLUMNS + 1];
  private byte[] bytes;
  private int count;

  CsvRow(char delimiter) {
    this.delimiter = (byte) delimiter;
    quoted =
        CsvReader.builder()
            .fieldSeparator(delimiter)
            .skipEmptyLines(false)
            .allowExtraCharsAfterClosingQuote(false)
            .maxBufferSize(2 * LineReader.MAX_LINE_BYTES);
  }

  /** Splits a line; returns what is wrong with it, or null. */
  SkipReason split(byte[] line, int length) {
    bytes = line;
    count = 0;
    int from = 0;
    for (int i = 0; i <= length; i++) {
      if (i < length && line[i] == '"') {
        return splitQuoted(new String(line, 0, length, StandardCharsets.UTF_8));
      }
      if (i == length || line[i] == delimiter) {
        if (count == MAX_COLUMNS) {
          return SkipReason.TOO_MANY_COLUMNS;
        }
        starts[count++] = from;
        from = i + 1;
      }
    }
    starts[count] = length + 1;
    return null;
  }

  /** Parses each line alone, so that an unclosed quote does not swallow the lines after it. */
  private SkipReason splitQuoted(String line) {
    CsvRecord record;
    try {
      long quotes = line.chars().filter(c -> c == '"').count();
      if (quotes % 2 != 0) {
        return SkipReason.QUOTE_OPEN;
      }
      record = quoted.ofSingleCsvRecord(line);
    } catch (CsvParseException e) {
      return SkipReason.QUOTE_OPEN;
    }
    if (record.getFieldCount() > MAX_COLUMNS) {
      return SkipReason.TOO_MANY_COLUMNS;
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
    long hash = FNV_OFFSET_BASIS;
    for (int i = starts[column]; i < starts[column + 1] - 1; i++) {
      hash = (hash ^ (bytes[i] & 255)) * FNV_PRIME;
    }
    return mixed(hash);
  }

  /** The finalizer of MurmurHash3. */
  static long mixed(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /** A number, or NaN if the column holds none; integers, the usual case, are read in place. */
  double number(int column) {
    int from = starts[column];
    int to = starts[column + 1] - 1;
    boolean minus = from < to && bytes[from] == '-';
    long whole = 0;
    int first = minus ? from + 1 : from;
    int at = first;
    while (at < to && bytes[at] >= '0' && bytes[at] <= '9' && at - first < MAX_DIGITS) {
      whole = whole * 10 + bytes[at++] - '0';
    }
    if (at == to && at > first) {
      return minus ? -whole : whole;
    }
    return decimal(text(column));
  }

  /** Rejects what {@link Double#parseDouble} would accept (0x1p3, 1d, NaN) and no trace means. */
  private static double decimal(String text) {
    String plain = text.strip();
    if (plain.isEmpty()
        || plain.length() > MAX_DECIMAL_LENGTH
        || !plain.chars().allMatch(c -> DECIMAL_CHARACTERS.indexOf(c) >= 0)) {
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
