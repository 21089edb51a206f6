package tillerlink.trace;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * Reader of the tasks of a trace from its shards, in the order of the files. A row that cannot be
 * used is skipped and counted with its reason.
 */
public final class TaskReader implements TaskSource, Closeable {
  /** The largest valid time, in tenths of a millisecond: about 30 years. */
  private static final double MAX_TIME = 1e13;

  private static final double MAX_CORES = 1e6;

  /** The maximum number of starts that wait for their ends. */
  public static final int MAX_OPEN_STARTS = 1 << 16;

  private final Layout layout;
  private final List<List<Layout.Test>> requestClassTests;
  private final LineReader lines;
  private final CsvRow row;
  private final RowCounts counts;
  private final StartEndJoin join;
  private ColumnMapping columns;
  private long tasksStarted;
  private boolean endReached;
  private double latestStart = Double.NEGATIVE_INFINITY;

  /**
   * Creates a reader, which reads the shards one after the other.
   *
   * @param requestClassTests the tests of each request class; a row belongs to the first class
   *     whose tests it passes
   * @param counts receives the number of rows read, used and skipped
   */
  public TaskReader(
      Layout layout,
      List<Shard> shards,
      List<List<Layout.Test>> requestClassTests,
      RowCounts counts) {
    this.layout = layout;
    this.requestClassTests = requestClassTests;
    this.counts = counts;
    lines = new LineReader(shards);
    row = new CsvRow(layout.delimiter());
    join = layout.pairing() == null ? null : new StartEndJoin(MAX_OPEN_STARTS);
    if (!layout.header()) {
      columns = new ColumnMapping(layout, layout.columns(), requestClassTests);
    }
  }

  @Override
  public Task next() throws IOException {
    while (lines.next()) {
      if (layout.header() && lines.isFirst()) {
        readHeader();
        continue;
      }
      if (lines.length() == 0 && lines.skipReason() == null) {
        continue;
      }
      counts.countRead();
      Task task = task();
      if (task != null) {
        counts.countUsed(task.rows());
        return task;
      }
    }
    countOpenStarts();
    return null;
  }

  /**
   * Returns the task that the current line describes or completes. A row that is skipped is
   * counted.
   *
   * @return null if the line does not complete a task
   */
  private Task task() {
    SkipReason reason = skipReason();
    if (reason != null) {
      counts.countSkipped(reason, lines.shardName(), lines.number());
      return null;
    }
    double start = time(columns.start);
    counts.countIfOutOfOrder(start < latestStart);
    latestStart = Math.max(latestStart, start);
    return join == null ? taskOfOneRow() : taskOfPairedRows();
  }

  /** Returns why the current line must be skipped, or null if it is valid. */
  private SkipReason skipReason() {
    SkipReason reason = split();
    if (reason != null) {
      return reason;
    }
    if (row.columns() != columns.width) {
      return row.columns() < columns.width
          ? SkipReason.TOO_FEW_COLUMNS
          : SkipReason.TOO_MANY_COLUMNS;
    }
    if (!columns.isWanted(row)) {
      return SkipReason.OTHER_KIND;
    }
    reason = startSkipReason();
    if (reason == null && columns.end >= 0) {
      reason = endSkipReason();
    }
    return reason != null ? reason : sizeSkipReason();
  }

  /** Splits the current line; returns why it must be skipped, or null if it is valid. */
  private SkipReason split() {
    return lines.skipReason() != null
        ? lines.skipReason()
        : row.split(lines.line(), lines.length());
  }

  /** Counts the starts that still wait at the end of the trace as unpaired, once. */
  private void countOpenStarts() {
    if (!endReached) {
      endReached = true;
      for (int i = join == null ? 0 : join.waiting(); i > 0; i--) {
        counts.countSkipped(SkipReason.UNPAIRED, "end", 0);
      }
    }
  }

  /**
   * Reads the names of the columns from the current line.
   *
   * @throws IOException if the line is malformed or a required column is missing
   */
  private void readHeader() throws IOException {
    SkipReason reason = split();
    if (reason != null) {
      throw new IOException(lines.shardName() + ": invalid header: " + reason.word());
    }
    try {
      columns = new ColumnMapping(layout, ColumnMapping.header(row), requestClassTests);
    } catch (IllegalArgumentException e) {
      throw new IOException(lines.shardName() + ": " + e.getMessage() + " in the header");
    }
  }

  /** Returns the time in a column, in tenths of a millisecond; NaN if it is not a number. */
  private double time(int column) {
    return row.number(column) * layout.tenthsPer();
  }

  /** Returns whether a column contains a value that marks an unknown time. */
  private boolean isUnknownTime(int column) {
    return row.number(column) >= layout.unknownTime();
  }

  private static boolean isOutOfRange(double time) {
    return time < 0 || time > MAX_TIME;
  }

  private SkipReason startSkipReason() {
    double start = time(columns.start);
    if (Double.isNaN(start)) {
      return notANumber(columns.start);
    }
    if (isUnknownTime(columns.start)) {
      return SkipReason.OTHER_KIND;
    }
    return isOutOfRange(start) ? SkipReason.OUT_OF_RANGE : null;
  }

  private SkipReason endSkipReason() {
    double end = time(columns.end);
    if (Double.isNaN(end)) {
      return notANumber(columns.end);
    }
    if (isOutOfRange(end)) {
      return SkipReason.OUT_OF_RANGE;
    }
    return end < time(columns.start) ? SkipReason.ENDS_BEFORE_START : null;
  }

  /** Returns the reason for a time that is not a number; an empty one is not malformed. */
  private SkipReason notANumber(int column) {
    return row.length(column) == 0 ? SkipReason.OTHER_KIND : SkipReason.NOT_A_NUMBER;
  }

  private SkipReason sizeSkipReason() {
    double cores = cores();
    double memory = memory();
    if (Double.isNaN(cores) || Double.isNaN(memory)) {
      return SkipReason.NOT_A_NUMBER;
    }
    return cores < 0 || cores > MAX_CORES || memory < 0 ? SkipReason.OUT_OF_RANGE : null;
  }

  /** Returns the number of cores; one core if the column is absent or empty. */
  private double cores() {
    if (columns.cores < 0 || row.length(columns.cores) == 0) {
      return 1;
    }
    return numberOrBucket(columns.cores) * layout.coresPer();
  }

  /** Returns the memory in the file's unit; 0 if the column is absent or empty. */
  private double memory() {
    return columns.memory < 0 || row.length(columns.memory) == 0
        ? 0
        : numberOrBucket(columns.memory);
  }

  /**
   * Returns the number in a column, which is either written out, such as "8", or the bound of an
   * open-ended bucket, such as "&gt;24".
   *
   * @return NaN if the column is neither
   */
  private double numberOrBucket(int column) {
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

  /** Returns the hash of the user, or of the job if the layout has no user. */
  private long owner() {
    return columns.owner < 0 ? row.hash(columns.job) : row.hash(columns.owner);
  }

  /** Returns the task that the current line describes. */
  private Task taskOfOneRow() {
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
        columns.requestClass(row),
        1);
  }

  /**
   * Adds a start to the join, or returns the task that an end completes.
   *
   * @return null if the current line does not complete a task
   */
  private Task taskOfPairedRows() {
    long key =
        CsvRow.mix(row.hash(columns.job) * 31 + (columns.task < 0 ? 0 : row.hash(columns.task)));
    long time = (long) time(columns.start);
    if (columns.isStart(row)) {
      skip(join.evictions(), SkipReason.EVICTED);
      boolean replaced =
          join.addStart(key, time, cores(), memory(), tasksStarted++, columns.requestClass(row));
      skip(replaced ? 1 : 0, SkipReason.UNPAIRED);
      return null;
    }
    if (!columns.isEnd(row) && !columns.isAbort(row)) {
      skip(1, SkipReason.OTHER_KIND);
      return null;
    }
    Task task = join.matchEnd(key, time, row.hash(columns.job), owner());
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

  /** Counts rows as skipped at the position of the current line. */
  private void skip(int rows, SkipReason reason) {
    for (int i = 0; i < rows; i++) {
      counts.countSkipped(reason, lines.shardName(), lines.number());
    }
  }

  @Override
  public void close() throws IOException {
    lines.close();
  }
}
