package tillerlink.trace;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The indexes of a layout's columns in the rows of one shard, and its tests on them. */
final class ColumnMapping {
  private static final int NONE = -1;

  /** A test on the column with that index. */
  private record ColumnTest(
      int column, byte[][] values, boolean not, double least, double most, boolean byNumber) {
    boolean holds(CsvRow row) {
      if (byNumber) {
        double number = row.number(column);
        return (number >= least && number <= most) != not;
      }
      for (byte[] value : values) {
        if (row.is(column, value)) {
          return !not;
        }
      }
      return not;
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

  /** The tests of each request class, which must all hold. */
  private final List<List<ColumnTest>> kinds;

  /**
   * @throws IllegalArgumentException if a required column is missing; the message names it
   */
  ColumnMapping(Layout layout, List<String> names, List<List<Layout.Test>> kinds) {
    this.names = names;
    width = names.size();
    start = place(layout.start());
    end = place(layout.end());
    cores = place(layout.cores());
    memory = place(layout.memory());
    job = place(layout.job());
    task = place(layout.task());
    owner = place(layout.owner());
    copies = place(layout.copies());
    Layout.Pairing pairing = layout.pairing();
    event = pairing == null ? NONE : place(pairing.column());
    starts = pairing == null ? new byte[0][] : bytes(pairing.starts());
    ends = pairing == null ? new byte[0][] : bytes(pairing.ends());
    aborts = pairing == null ? new byte[0][] : bytes(pairing.breaks());
    wanted = columnTests(layout.wanted());
    this.kinds = kinds.stream().map(this::columnTests).toList();
  }

  /** The names that a header line gives. */
  static List<String> header(CsvRow row) {
    List<String> names = new ArrayList<>(row.columns());
    for (int i = 0; i < row.columns(); i++) {
      names.add(row.text(i).strip());
    }
    return names;
  }

  private int place(String name) {
    if (name == null) {
      return NONE;
    }
    int place = names.indexOf(name);
    if (place < 0) {
      throw new IllegalArgumentException("no column '" + name + "'");
    }
    return place;
  }

  private List<ColumnTest> columnTests(List<Layout.Test> tests) {
    return tests.stream()
        .map(
            test ->
                new ColumnTest(
                    place(test.column()),
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

  private static boolean allHold(List<ColumnTest> tests, CsvRow row) {
    for (ColumnTest test : tests) {
      if (!test.holds(row)) {
        return false;
      }
    }
    return true;
  }

  boolean isWanted(CsvRow row) {
    return allHold(wanted, row);
  }

  /** The first request class whose tests all hold, or -1. */
  int kind(CsvRow row) {
    for (int i = 0; i < kinds.size(); i++) {
      if (allHold(kinds.get(i), row)) {
        return i;
      }
    }
    return NONE;
  }

  private boolean eventIn(byte[][] values, CsvRow row) {
    for (byte[] value : values) {
      if (row.is(event, value)) {
        return true;
      }
    }
    return false;
  }

  boolean isStart(CsvRow row) {
    return eventIn(starts, row);
  }

  boolean isEnd(CsvRow row) {
    return eventIn(ends, row);
  }

  boolean isAbort(CsvRow row) {
    return eventIn(aborts, row);
  }
}
