package tillerlink.trace;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The mapping from the columns of a layout to their indexes in the rows of one shard, with the
 * tests on these columns. The index of an absent column is -1.
 */
final class ColumnMapping {
  private static final int NONE = -1;

  /**
   * A test on a column.
   *
   * @param column the index of the column
   * @param values the texts to compare with, as UTF-8
   * @param negated whether the test must not match
   * @param min the smallest number in the range
   * @param max the largest number in the range
   * @param byNumber whether the number is tested, instead of the text
   */
  private record ColumnTest(
      int column, byte[][] values, boolean negated, double min, double max, boolean byNumber) {
    boolean matches(CsvRow row) {
      if (byNumber) {
        double number = row.number(column);
        return (number >= min && number <= max) != negated;
      }
      for (byte[] value : values) {
        if (row.equalTo(column, value)) {
          return !negated;
        }
      }
      return negated;
    }
  }

  final int width;
  final int start;
  final int end;
  final int cores;
  final int memory;
  final int job;
  final int task;
  final int owner;
  final int copies;
  final int event;
  private final List<String> names;
  private final byte[][] starts;
  private final byte[][] ends;
  private final byte[][] aborts;
  private final List<ColumnTest> wanted;

  /** The tests of each request class; a row must pass all of them. */
  private final List<List<ColumnTest>> requestClassTests;

  /**
   * Creates the mapping of a shard.
   *
   * @param names the names of the shard's columns, in their order
   * @param requestClassTests the tests of each request class
   * @throws IllegalArgumentException if a required column is missing; the message names it
   */
  ColumnMapping(Layout layout, List<String> names, List<List<Layout.Test>> requestClassTests) {
    this.names = names;
    width = names.size();
    start = columnIndex(layout.start());
    end = columnIndex(layout.end());
    cores = columnIndex(layout.cores());
    memory = columnIndex(layout.memory());
    job = columnIndex(layout.job());
    task = columnIndex(layout.task());
    owner = columnIndex(layout.owner());
    copies = columnIndex(layout.copies());
    Layout.Pairing pairing = layout.pairing();
    event = pairing == null ? NONE : columnIndex(pairing.column());
    starts = pairing == null ? new byte[0][] : bytes(pairing.starts());
    ends = pairing == null ? new byte[0][] : bytes(pairing.ends());
    aborts = pairing == null ? new byte[0][] : bytes(pairing.breaks());
    wanted = columnTests(layout.wanted());
    this.requestClassTests = requestClassTests.stream().map(this::columnTests).toList();
  }

  /** Returns the names of the columns in a header line. */
  static List<String> header(CsvRow row) {
    List<String> names = new ArrayList<>(row.columns());
    for (int i = 0; i < row.columns(); i++) {
      names.add(row.text(i).strip());
    }
    return names;
  }

  /**
   * Returns the index of a column.
   *
   * @param name may be null
   * @return -1 if the name is null
   * @throws IllegalArgumentException if there is no column of that name
   */
  private int columnIndex(String name) {
    if (name == null) {
      return NONE;
    }
    int index = names.indexOf(name);
    if (index < 0) {
      throw new IllegalArgumentException("no column '" + name + "'");
    }
    return index;
  }

  private List<ColumnTest> columnTests(List<Layout.Test> tests) {
    return tests.stream()
        .map(
            test ->
                new ColumnTest(
                    columnIndex(test.column()),
                    bytes(test.values()),
                    test.not(),
                    test.least(),
                    test.most(),
                    test.byNumber()))
        .toList();
  }

  private static byte[][] bytes(List<String> texts) {
    return texts.stream().map(text -> text.getBytes(StandardCharsets.UTF_8)).toArray(byte[][]::new);
  }

  private static boolean allMatch(List<ColumnTest> tests, CsvRow row) {
    for (ColumnTest test : tests) {
      if (!test.matches(row)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a row passes all tests of the layout. */
  boolean isWanted(CsvRow row) {
    return allMatch(wanted, row);
  }

  /** Returns the index of the first request class whose tests the row passes, or -1. */
  int requestClass(CsvRow row) {
    for (int i = 0; i < requestClassTests.size(); i++) {
      if (allMatch(requestClassTests.get(i), row)) {
        return i;
      }
    }
    return NONE;
  }

  private boolean eventIsOneOf(byte[][] values, CsvRow row) {
    for (byte[] value : values) {
      if (row.equalTo(event, value)) {
        return true;
      }
    }
    return false;
  }

  boolean isStart(CsvRow row) {
    return eventIsOneOf(starts, row);
  }

  boolean isEnd(CsvRow row) {
    return eventIsOneOf(ends, row);
  }

  boolean isAbort(CsvRow row) {
    return eventIsOneOf(aborts, row);
  }
}
