package tillerlink.trace;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A generator of synthetic traces in the published layouts. Jobs arrive in bursts, spans are
 * log-normal, and a few users own most jobs. Some rows are corrupted and some are out of order; the
 * generator reports the number of each. The traces contain no real data.
 */
public final class TraceGenerator implements Closeable {
  private static final double SPAN_SIGMA = 1.2;
  private static final double SPAN_MEDIAN_S = 40;
  private static final double GAP_MEAN_S = 0.5;
  private static final int USERS = 300;
  private static final int MAX_TASKS_PER_JOB = 12;
  private static final double TENTHS_PER_S = 10_000;
  private static final int MICROS_PER_TENTH = 100;
  private static final int GOOGLE_MACHINES = 12_000;
  private static final List<String> AZURE_CORES = List.of("2", "4", "8", ">24");

  /** The maximum number of rows that wait to be written; end rows of paired layouts wait long. */
  private static final int MAX_WAITING = 1 << 18;

  /**
   * The numbers of rows and tasks that were written.
   *
   * @param rows all rows, including corrupted ones
   * @param tasks the tasks that the intact rows describe
   * @param bad the corrupted rows, by the reason for which a reader skips them
   * @param shuffled the rows that follow a row of a later time
   */
  public record Generated(long rows, long tasks, Map<SkipReason, Long> bad, long shuffled) {
    /** Returns the number of corrupted rows of all kinds. */
    public long allBad() {
      return bad.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  /**
   * A row that waits to be written.
   *
   * @param writeAt the time at which the row is written, in tenths of a millisecond
   * @param number the order among rows that are written at the same time
   * @param ownTime the time in the row, in the file's unit
   * @param text the row without its line end
   */
  private record Line(long writeAt, long number, long ownTime, String text) {}

  private static final SkipReason[] CORRUPTIONS = {
    SkipReason.TOO_FEW_COLUMNS,
    SkipReason.TOO_MANY_COLUMNS,
    SkipReason.QUOTE_OPEN,
    SkipReason.NUL,
    SkipReason.BROKEN_UTF8,
    SkipReason.NOT_A_NUMBER,
    SkipReason.OUT_OF_RANGE,
    SkipReason.LINE_TOO_LONG
  };

  private final Layout layout;
  private final Random random;
  private final double badShare;
  private final long shuffle;
  private final OutputStream out;
  private final Map<SkipReason, Long> bad = new EnumMap<>(SkipReason.class);
  private final PriorityQueue<Line> lines =
      new PriorityQueue<>(Comparator.comparingLong(Line::writeAt).thenComparingLong(Line::number));
  private long now;
  private long rows;
  private long tasks;
  private long shuffled;
  private long tasksMade;
  private long linesAdded;
  private long latestWritten = Long.MIN_VALUE;

  /**
   * Creates a generator; the same seed generates the same trace.
   *
   * @param badShare the probability, for each intact row, that a corrupted row follows it
   * @param shuffle the maximum time by which a row is written late, in tenths of a millisecond of
   *     the trace
   * @throws IllegalArgumentException if the layout is not a built-in one
   */
  public TraceGenerator(Layout layout, long seed, double badShare, long shuffle, OutputStream out) {
    if (!Layout.KNOWN.contains(layout)) {
      throw new IllegalArgumentException(
          "cannot generate layout '" + layout.name() + "': expected a built-in layout");
    }
    this.layout = layout;
    this.random = new Random(seed);
    this.badShare = badShare;
    this.shuffle = shuffle;
    this.out = new BufferedOutputStream(out, 1 << 16);
    now = layout.equals(Layout.GOOGLE_2011) ? (long) (600 * TENTHS_PER_S) : 0;
  }

  /**
   * Writes the trace: intact rows with corrupted rows between them.
   *
   * @param rowsWanted the approximate number of intact rows
   * @throws IOException if writing fails
   */
  public Generated make(long rowsWanted) throws IOException {
    long perTask = layout.pairing() == null ? 1 : 2;
    while (tasksMade * perTask < rowsWanted) {
      addJob(rowsWanted, perTask);
      while (lines.size() > MAX_WAITING
          || (!lines.isEmpty() && lines.peek().writeAt + shuffle < now)) {
        write(lines.poll());
      }
    }
    while (!lines.isEmpty()) {
      write(lines.poll());
    }
    out.flush();
    return new Generated(rows, tasks, bad, shuffled);
  }

  /** Adds the rows of one job and advances the time to its start. */
  private void addJob(long rowsWanted, long perTask) {
    double burst = random.nextInt(20) == 0 ? 0.1 : 1;
    now += (long) (-Math.log(1 - random.nextDouble()) * GAP_MEAN_S * burst * TENTHS_PER_S);
    long job = 3_000_000_000L + random.nextInt(1 << 30);
    int user = (int) (USERS * Math.pow(random.nextDouble(), 3));
    int size = 1 + (int) (MAX_TASKS_PER_JOB * Math.pow(random.nextDouble(), 4));
    int importance = random.nextInt(10) < 7 ? 0 : 1 + random.nextInt(10);
    for (int i = 0; i < size && tasksMade * perTask < rowsWanted; i++) {
      long start = now + random.nextInt((int) TENTHS_PER_S);
      double span = Math.exp(random.nextGaussian() * SPAN_SIGMA) * SPAN_MEDIAN_S * TENTHS_PER_S;
      addTask(job, i, user, importance, start, start + (long) Math.max(TENTHS_PER_S, span));
      tasksMade++;
    }
  }

  /** Adds the rows of one task. Times are tenths of a millisecond. */
  private void addTask(long job, int index, int user, int importance, long start, long end) {
    tasks++;
    long startSecond = (long) (start / TENTHS_PER_S);
    long endSecond = (long) Math.ceil(end / TENTHS_PER_S);
    if (layout.equals(Layout.GOOGLE_2011)) {
      addGoogleRows(job, index, user, importance, start, end);
    } else if (layout.equals(Layout.ALIBABA_2018)) {
      int cores = 50 * (1 + random.nextInt(4));
      String memory = decimal(0.1 + random.nextDouble());
      add(
          start,
          startSecond,
          String.format(
              Locale.ROOT,
              "task_%d,1,j_%d,%d,Terminated,%d,%d,%d,%s",
              index,
              job,
              1 + importance,
              startSecond,
              endSecond,
              cores,
              memory));
    } else {
      addAzureRow(job, index, user, importance, start, startSecond, endSecond);
    }
  }

  private void addAzureRow(
      long job, int index, int user, int importance, long start, long startSecond, long endSecond) {
    int size = (int) (AZURE_CORES.size() * Math.pow(random.nextDouble(), 4));
    add(
        start,
        startSecond,
        String.format(
            Locale.ROOT,
            "vm%d/%d,sub%d,dep%d,%d,%d,90.5,12.25,60.0,%s,%s,%d",
            job,
            index,
            user,
            job,
            startSecond,
            endSecond,
            azureCategory(importance),
            AZURE_CORES.get(size),
            4 << size));
  }

  /** Adds the start row and the end row of one task. */
  private void addGoogleRows(long job, int index, int user, int importance, long start, long end) {
    double cpu = 0.01 + 0.05 * random.nextInt(5);
    String memory = decimal(0.005 + 0.1 * random.nextDouble());
    String tail =
        String.format(
            Locale.ROOT,
            ",u%d,%d,%d,%s,%s,0.0001,0",
            user,
            importance % 4,
            importance,
            decimal(cpu),
            memory);
    String head =
        String.format(Locale.ROOT, ",,%d,%d,%d,", job, index, random.nextInt(GOOGLE_MACHINES));
    add(start, start, start * MICROS_PER_TENTH + head + "1" + tail);
    add(end, end, end * MICROS_PER_TENTH + head + "4" + tail);
  }

  private static String azureCategory(int importance) {
    if (importance == 0) {
      return "Delay-insensitive";
    }
    return importance < 5 ? "Interactive" : "Unknown";
  }

  private static String decimal(double number) {
    return String.format(Locale.ROOT, "%.4f", number);
  }

  /**
   * Adds a row that is written with a random delay.
   *
   * @param at the time of the row, in tenths of a millisecond
   * @param ownTime the time in the row, in the file's unit
   */
  private void add(long at, long ownTime, String text) {
    long delay = shuffle == 0 ? 0 : (long) (random.nextDouble() * shuffle);
    lines.add(new Line(at + delay, linesAdded++, ownTime, text));
  }

  /** Writes a row and, at random, a corrupted copy of it. */
  private void write(Line line) throws IOException {
    put(line.text.getBytes(StandardCharsets.UTF_8));
    if (line.ownTime < latestWritten) {
      shuffled++;
    }
    latestWritten = Math.max(latestWritten, line.ownTime);
    if (random.nextDouble() < badShare) {
      SkipReason reason = CORRUPTIONS[random.nextInt(CORRUPTIONS.length)];
      bad.merge(reason, 1L, Long::sum);
      put(corrupted(reason, line.text));
    }
  }

  private void put(byte[] row) throws IOException {
    out.write(row);
    out.write('\n');
    rows++;
  }

  /** Returns a copy of a row that a reader must skip for the given reason. */
  private byte[] corrupted(SkipReason reason, String line) {
    String[] parts = line.split(",", -1);
    int time = layout.equals(Layout.GOOGLE_2011) ? 0 : layout.columns().indexOf(layout.start());
    String text =
        switch (reason) {
          case TOO_FEW_COLUMNS -> line.substring(0, line.lastIndexOf(','));
          case TOO_MANY_COLUMNS -> line + ",x";
          case QUOTE_OPEN -> line.replaceFirst(",", ",\"");
          case NUL, BROKEN_UTF8 -> line;
          case NOT_A_NUMBER -> replaceColumn(parts, time, "soon");
          case OUT_OF_RANGE -> replaceColumn(parts, time, "-7");
          default ->
              replaceColumn(
                  parts,
                  parts.length - 1,
                  "9".repeat(LineReader.MAX_LINE_BYTES + random.nextInt(100)));
        };
    byte[] row = text.getBytes(StandardCharsets.UTF_8);
    if (reason == SkipReason.NUL) {
      row[row.length - 1] = 0;
    } else if (reason == SkipReason.BROKEN_UTF8) {
      row[row.length - 1] = (byte) 0xc3;
    }
    return row;
  }

  /** Returns a row in which one column is replaced. */
  private static String replaceColumn(String[] parts, int column, String text) {
    String[] changed = parts.clone();
    changed[column] = text;
    return String.join(",", changed);
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
