package tillerlink.trace;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * Reads the tasks of a trace out of its shards, in the order of the file. A row that can't be used
 * is counted by its cause and passed over; nothing else is lost with it.
 */
public final class TaskReader implements Tasks, Closeable {
  /** Times beyond this many tenths of a millisecond, some 30 years, are absurd. */
  private static final double TIME_MOST = 1e13;

  private static final double CORES_MOST = 1e6;

  /** How many starts may wait for their ends. */
  public static final int PAIRS_MOST = 1 << 16;

  private final Layout layout;
  private final List<List<Layout.Test>> kinds;
  private final Lines lines;
  private final Row row;
  private final Tally tally;
  private final Pairs pairs;
  private Columns columns;
  private long number;
  private boolean ended;
  private double latest = Double.NEGATIVE_INFINITY;

  /**
   * @param kinds tests that a row must pass to be of a kind, by place; the first that fits counts
   */
  public TaskReader(Layout layout, List<Shard> shards, List<List<Layout.Test>> kinds, Tally tally) {
    this.layout = layout;
    this.kinds = kinds;
    this.tally = tally;
    lines = new Lines(shards);
    row = new Row(layout.delimiter());
    pairs = layout.pairing() == null ? null : new Pairs(PAIRS_MOST);
    if (!layout.header()) {
      columns = new Columns(layout, layout.columns(), kinds);
    }
  }

  @Override
  public Task next() throws IOException {
    while (lines.next()) {
      if (layout.header() && lines.first) {
        header();
        continue;
      }
      if (lines.length == 0 && lines.fault == null) {
        continue;
      }
      tally.read();
      Skip fault = lines.fault != null ? lines.fault : row.split(lines.line, lines.length);
      if (fault == null && row.columns() != columns.width) {
        fault = row.columns() < columns.width ? Skip.TOO_FEW_COLUMNS : Skip.TOO_MANY_COLUMNS;
      }
      Task task = null;
      if (fault == null) {
        fault = check();
      }
      if (fault == null) {
        double at = time(columns.start);
        tally.behind(at < latest);
        latest = Math.max(latest, at);
        task = pairs == null ? whole() : paired();
      } else {
        tally.skip(fault, lines.shardName(), lines.number());
      }
      if (task != null) {
        tally.used(task.rows());
        return task;
      }
    }
    if (!ended) {
      ended = true;
      for (int i = pairs == null ? 0 : pairs.waiting(); i > 0; i--) {
        tally.skip(Skip.UNPAIRED, "end", 0);
      }
    }
    return null;
  }

  private void header() throws IOException {
    Skip fault = lines.fault != null ? lines.fault : row.split(lines.line, lines.length);
    if (fault != null) {
      throw new IOException(lines.shardName() + ": the header can't be read: " + fault.word());
    }
    try {
      columns = new Columns(layout, Columns.header(row), kinds);
    } catch (IllegalArgumentException e) {
      throw new IOException(lines.shardName() + ": " + e.getMessage() + " in the header");
    }
  }

  private double time(int column) {
    return row.number(column) * layout.tenthsPer();
  }

  private boolean unknown(int column) {
    return row.number(column) >= layout.unknownTime();
  }

  private static boolean absurd(double time) {
    return time < 0 || time > TIME_MOST;
  }

  /** What is wrong with a row's figures, or that it is of no use here; null if neither. */
  private Skip check() {
    if (!columns.wants(row)) {
      return Skip.OTHER_KIND;
    }
    double start = time(columns.start);
    if (Double.isNaN(start)) {
      return row.length(columns.start) == 0 ? Skip.OTHER_KIND : Skip.NOT_A_NUMBER;
    }
    if (unknown(columns.start)) {
      return Skip.OTHER_KIND;
    }
    if (absurd(start)) {
      return Skip.OUT_OF_RANGE;
    }
    if (columns.end >= 0) {
      double end = time(columns.end);
      if (Double.isNaN(end)) {
        return row.length(columns.end) == 0 ? Skip.OTHER_KIND : Skip.NOT_A_NUMBER;
      }
      if (absurd(end)) {
        return Skip.OUT_OF_RANGE;
      }
      if (end < start) {
        return Skip.ENDS_BEFORE_START;
      }
    }
    double cores = cores();
    double memory = memory();
    if (Double.isNaN(cores) || Double.isNaN(memory)) {
      return Skip.NOT_A_NUMBER;
    }
    return cores < 0 || cores > CORES_MOST || memory < 0 ? Skip.OUT_OF_RANGE : null;
  }

  /** An empty column asks for one core; "8" and the bucket ">24" both tell a number. */
  private double cores() {
    if (columns.cores < 0 || row.length(columns.cores) == 0) {
      return 1;
    }
    return bucket(columns.cores) * layout.coresPer();
  }

  private double memory() {
    return columns.memory < 0 || row.length(columns.memory) == 0 ? 0 : bucket(columns.memory);
  }

  private double bucket(int column) {
    double number = row.number(column);
    if (Double.isNaN(number)) {
      String text = row.text(column);
      if (text.length() > 1 && text.charAt(0) == '>') {
        try {
          number = Integer.parseInt(text.substring(1));
        } catch (NumberFormatException e) {
          return Double.NaN;
        }
      }
    }
    return number;
  }

  private long owner() {
    return columns.owner < 0 ? row.hash(columns.job) : row.hash(columns.owner);
  }

  private Task whole() {
    long start = (long) time(columns.start);
    double copies = columns.copies < 0 ? 1 : row.number(columns.copies);
    return new Task(
        start,
        (long) time(columns.end) - start,
        cores() * (copies >= 1 ? copies : 1),
        memory(),
        row.hash(columns.job),
        owner(),
        number++,
        columns.kind(row),
        1);
  }

  /** Keeps a start, or gives the task that this end completes. */
  private Task paired() {
    long key =
        Row.mixed(row.hash(columns.job) * 31 + (columns.task < 0 ? 0 : row.hash(columns.task)));
    long at = (long) time(columns.start);
    if (columns.begins(row)) {
      skips(pairs.pushesOut(), Skip.EVICTED);
      boolean replaced = pairs.open(key, at, cores(), memory(), number++, columns.kind(row));
      skips(replaced ? 1 : 0, Skip.UNPAIRED);
      return null;
    }
    if (!columns.ends(row) && !columns.breaks(row)) {
      skips(1, Skip.OTHER_KIND);
      return null;
    }
    Task task = pairs.close(key, at, row.hash(columns.job), owner());
    if (task == null) {
      skips(1, Skip.UNPAIRED);
    } else if (!columns.ends(row)) {
      skips(2, Skip.OTHER_KIND);
      task = null;
    } else if (task.span() < 0) {
      skips(2, Skip.ENDS_BEFORE_START);
      task = null;
    }
    return task;
  }

  private void skips(int rows, Skip cause) {
    for (int i = 0; i < rows; i++) {
      tally.skip(cause, lines.shardName(), lines.number());
    }
  }

  @Override
  public void close() throws IOException {
    lines.close();
  }
}
