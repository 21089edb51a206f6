package tillerlink.trace;

import de.siegmar.fastcsv.reader.CsvParseException;
import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.CsvRecord;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The columns of one line as bytes. A line without quotes is split in place; a line with quotes is
 * parsed by the CSV library.
 */
final class CsvRow {
  private static final int MAX_COLUMNS = 512;
  private static final int MAX_DIGITS = 18;
  private static final int MAX_DECIMAL_LENGTH = 40;
  private static final String DECIMAL_CHARACTERS = "0123456789.-+eE";
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final byte delimiter;
  private final CsvReader.CsvReaderBuilder quotedLines;
  private final int[] starts = new int[MAX_COLUMNS + 1];
  private byte[] bytes;
  private int count;

  /** Creates a row without columns. */
  CsvRow(char delimiter) {
    this.delimiter = (byte) delimiter;
    quotedLines =
        CsvReader.builder()
            .fieldSeparator(delimiter)
            .skipEmptyLines(false)
            .allowExtraCharsAfterClosingQuote(false)
            .maxBufferSize(2 * LineReader.MAX_LINE_BYTES);
  }

  /**
   * Splits a line into columns.
   *
   * @param line the bytes of the line, which are not copied
   * @param length the number of bytes of the line
   * @return why the line must be skipped, or null if it is valid
   */
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

  /**
   * Splits a line with quotes. Each line is parsed by itself, so that an unclosed quote does not
   * include the lines after it.
   */
  private SkipReason splitQuoted(String line) {
    CsvRecord record;
    try {
      long quotes = line.chars().filter(c -> c == '"').count();
      if (quotes % 2 != 0) {
        return SkipReason.QUOTE_OPEN;
      }
      record = quotedLines.ofSingleCsvRecord(line);
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
    int position = 0;
    for (count = 0; count < parts.length; count++) {
      starts[count] = position;
      System.arraycopy(parts[count], 0, bytes, position, parts[count].length);
      position += parts[count].length + 1;
    }
    starts[count] = position;
    return null;
  }

  /** Returns the number of columns. */
  int columns() {
    return count;
  }

  /** Returns the length of a column in bytes. */
  int length(int column) {
    return starts[column + 1] - 1 - starts[column];
  }

  String text(int column) {
    return new String(bytes, starts[column], length(column), StandardCharsets.UTF_8);
  }

  /** Returns whether a column consists of the given bytes. */
  boolean equalTo(int column, byte[] value) {
    return Arrays.equals(
        bytes, starts[column], starts[column] + length(column), value, 0, value.length);
  }

  /**
   * Returns a hash of a column's bytes that is the same on every machine (FNV-1a, followed by the
   * finalizer of MurmurHash3).
   */
  long hash(int column) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = starts[column]; i < starts[column + 1] - 1; i++) {
      hash = (hash ^ (bytes[i] & 255)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns a hash after the finalizer of MurmurHash3. */
  static long mix(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /**
   * Returns the number in a column. Integers, the usual case, are parsed in place.
   *
   * @return NaN if the column is not a number
   */
  double number(int column) {
    int from = starts[column];
    int to = starts[column + 1] - 1;
    boolean negative = from < to && bytes[from] == '-';
    long integer = 0;
    int firstDigit = negative ? from + 1 : from;
    int position = firstDigit;
    while (position < to
        && bytes[position] >= '0'
        && bytes[position] <= '9'
        && position - firstDigit < MAX_DIGITS) {
      integer = integer * 10 + bytes[position++] - '0';
    }
    if (position == to && position > firstDigit) {
      return negative ? -integer : integer;
    }
    return decimal(text(column));
  }

  /**
   * Returns a decimal number, or NaN if the text is not a finite one. Rejects forms that {@link
   * Double#parseDouble} accepts but that do not occur as numbers in traces (0x1p3, 1d, NaN).
   */
  private static double decimal(String text) {
    String stripped = text.strip();
    if (stripped.isEmpty()
        || stripped.length() > MAX_DECIMAL_LENGTH
        || !stripped.chars().allMatch(c -> DECIMAL_CHARACTERS.indexOf(c) >= 0)) {
      return Double.NaN;
    }
    try {
      double number = Double.parseDouble(stripped);
      return Double.isInfinite(number) ? Double.NaN : number;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
