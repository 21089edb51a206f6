package tillerlink.trace;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * Reads the tasks of a trace from its shards, in the order of the files. A row that can't be used
 * is counted with its reason and skipped.
 */
public final class TaskReader implements TaskSource, Closeable {
  /** Times beyond this many tenths of a millisecond, some 30 years, are out of range. */
  private static final double MAX_TIME = 1e13;

  private static final double MAX_CORES = 1e6;

  /** How many starts may wait for their ends. */
  public static final int MAX_OPEN_STARTS = 1 << 16;

  private final Layout layout;
  private final List<List<Layout.Test>> kinds;
  private final LineReader lines;
  private final CsvRow row;
  private final RowCounts counts;
  private final StartEndJoin join;
  private ColumnMapping columns;
  private long tasksStarted;
  private boolean endReached;
  private double latestStart = Double.NEGATIVE_INFINITY;

  /**
   * Reads the shards one after the other.
   *
   * @param kinds the tests of each request class; a row belongs to the first whose tests all hold
   */
  public TaskReader(
      Layout layout, List<Shard> shards, List<List<Layout.Test>> kinds, RowCounts counts) {
    this.layout = layout;
    this.kinds = kinds;
    this.counts = counts;
    lines = new LineReader(shards);
    row = new CsvRow(layout.delimiter());
    join = layout.pairing() == null ? null : new StartEndJoin(MAX_OPEN_STARTS);
    if (!layout.header()) {
      columns = new ColumnMapping(layout, layout.columns(), kinds);
    }
  }

  @Override
  public Task next() throws IOException {
    while (lines.next()) {
      if (layout.header() && lines.isFirst()) {
        header();
        continue;
      }
      if (lines.length() == 0 && lines.fault() == null) {
        continue;
      }
      counts.read();
      Task task = task();
      if (task != null) {
        counts.used(task.rows());
        return task;
      }
    }
    countOpenStarts();
    return null;
  }

  /** The task that the current line gives or completes, or null; a skipped row is counted. */
  private Task task() {
    SkipReason fault = fault();
    if (fault != null) {
      counts.skip(fault, lines.shardName(), lines.number());
      return null;
    }
    double start = time(columns.start);
    counts.outOfOrder(start < latestStart);
    latestStart = Math.max(latestStart, start);
    return join == null ? wholeTask() : joinedTask();
  }

  /** What is wrong with the current line, or null. */
  private SkipReason fault() {
    SkipReason fault = split();
    if (fault != null) {
      return fault;
    }
    if (row.columns() != columns.width) {
      return row.columns() < columns.width
          ? SkipReason.TOO_FEW_COLUMNS
          : SkipReason.TOO_MANY_COLUMNS;
    }
    if (!columns.isWanted(row)) {
      return SkipReason.OTHER_KIND;
    }
    fault = startFault();
    if (fault == null && columns.end >= 0) {
      fault = endFault();
    }
    return fault != null ? fault : sizeFault();
  }

  private SkipReason split() {
    return lines.fault() != null ? lines.fault() : row.split(lines.line(), lines.length());
  }

  private void countOpenStarts() {
    if (!endReached) {
      endReached = true;
      for (int i = join == null ? 0 : join.waiting(); i > 0; i--) {
        counts.skip(SkipReason.UNPAIRED, "end", 0);
      }
    }
  }

  private void header() throws IOException {
    SkipReason fault = split();
    if (fault != null) {
      throw new IOException(lines.shardName() + ": the header can't be read: " + fault.word());
    }
    try {
      columns = new ColumnMapping(layout, ColumnMapping.header(row), kinds);
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

  private static boolean outOfRange(double time) {
    return time < 0 || time > MAX_TIME;
  }

  private SkipReason startFault() {
    double start = time(columns.start);
    if (Double.isNaN(start)) {
      return notANumber(columns.start);
    }
    if (unknown(columns.start)) {
      return SkipReason.OTHER_KIND;
    }
    return outOfRange(start) ? SkipReason.OUT_OF_RANGE : null;
  }

  private SkipReason endFault() {
    double end = time(columns.end);
    if (Double.isNaN(end)) {
      return notANumber(columns.end);
    }
    if (outOfRange(end)) {
      return SkipReason.OUT_OF_RANGE;
    }
    return end < time(columns.start) ? SkipReason.ENDS_BEFORE_START : null;
  }

  private SkipReason notANumber(int column) {
    return row.length(column) == 0 ? SkipReason.OTHER_KIND : SkipReason.NOT_A_NUMBER;
  }

  private SkipReason sizeFault() {
    double cores = cores();
    double memory = memory();
    if (Double.isNaN(cores) || Double.isNaN(memory)) {
      return SkipReason.NOT_A_NUMBER;
    }
    return cores < 0 || cores > MAX_CORES || memory < 0 ? SkipReason.OUT_OF_RANGE : null;
  }

  /** One core if the column is empty; both "8" and the bucket ">24" are numbers. */
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

  private Task wholeTask() {
    long start = (long) time(columns.start);
    double copies = columns.copies < 0 ? 1 : row.number(columns.copies);
    return new Task(
        start,
        (long) time(columns.end) - start,
        cores() * (copies >= 1 ? copies : 1),
        memory(),
        row.hash(columns.job),
        owner(),
        tasksStarted++,
        columns.kind(row),
        1);
  }

  /** Adds a start to the join, or returns the task that this end completes. */
  private Task joinedTask() {
    long key =
        CsvRow.mixed(row.hash(columns.job) * 31 + (columns.task < 0 ? 0 : row.hash(columns.task)));
    long at = (long) time(columns.start);
    if (columns.isStart(row)) {
      skip(join.evictions(), SkipReason.EVICTED);
      boolean replaced = join.open(key, at, cores(), memory(), tasksStarted++, columns.kind(row));
      skip(replaced ? 1 : 0, SkipReason.UNPAIRED);
      return null;
    }
    if (!columns.isEnd(row) && !columns.isAbort(row)) {
      skip(1, SkipReason.OTHER_KIND);
      return null;
    }
    Task task = join.close(key, at, row.hash(columns.job), owner());
    if (task == null) {
      skip(1, SkipReason.UNPAIRED);
    } else if (!columns.isEnd(row)) {
      skip(2, SkipReason.OTHER_KIND);
      task = null;
    } else if (task.span() < 0) {
      skip(2, SkipReason.ENDS_BEFORE_START);
      task = null;
    }
    return task;
  }

  private void skip(int rows, SkipReason reason) {
    for (int i = 0; i < rows; i++) {
      counts.skip(reason, lines.shardName(), lines.number());
    }
  }

  @Override
  public void close() throws IOException {
    lines.close();
  }
}
