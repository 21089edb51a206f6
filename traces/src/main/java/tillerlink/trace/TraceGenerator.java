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
 * Generates a synthetic trace in a published layout: jobs come in bursts, spans are log-normal, and
 * a few users own most jobs. Some rows are corrupted and some are out of order, and the generator
 * reports how many of each it wrote. It contains no real data.
 */
public final class TraceGenerator implements Closeable {
  private static final double SPAN_SIGMA = 1.2;
  private static final double SPAN_MEDIAN_S = 40;
  private static final double GAP_MEAN_S = 0.5;
  private static final int USERS = 300;
  private static final int MAX_TASKS_PER_JOB = 12;
  private static final double TICKS_PER_SECOND = 10_000;
  private static final int MICROS_PER_TICK = 100;
  private static final int GOOGLE_MACHINES = 12_000;
  private static final List<String> AZURE_CORES = List.of("2", "4", "8", ">24");

  /** How many rows may wait to be written; those of layouts with end times wait long. */
  private static final int MAX_WAITING = 1 << 18;

  /**
   * What was written.
   *
   * @param shuffled rows that stand behind one of a later time
   */
  public record Generated(long rows, long tasks, Map<SkipReason, Long> bad, long shuffled) {
    /** How many corrupted rows there are, of all kinds. */
    public long allBad() {
      return bad.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  /**
   * One row: when it is written, its place among those written at once, and its own time in the
   * file's unit.
   */
  private record Line(long at, long number, long ownTime, String text) {}

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
      new PriorityQueue<>(Comparator.comparingLong(Line::at).thenComparingLong(Line::number));
  private long now;
  private long rows;
  private long tasks;
  private long shuffled;
  private long tasksMade;
  private long linesAdded;
  private long latestWritten = Long.MIN_VALUE;

  /**
   * Prepares a generator; the same seed gives the same trace.
   *
   * @param badShare the share of corrupted rows
   * @param shuffle by how much a row may be behind its place, in tenths of a millisecond of the
   *     trace
   */
  public TraceGenerator(Layout layout, long seed, double badShare, long shuffle, OutputStream out) {
    if (!Layout.KNOWN.contains(layout)) {
      throw new IllegalArgumentException("only the layouts that are built in can be made");
    }
    this.layout = layout;
    this.random = new Random(seed);
    this.badShare = badShare;
    this.shuffle = shuffle;
    this.out = new BufferedOutputStream(out, 1 << 16);
    now = layout.equals(Layout.GOOGLE_2011) ? (long) (600 * TICKS_PER_SECOND) : 0;
  }

  /** Writes about that many intact rows and, between them, the corrupted ones. */
  public Generated make(long rowsWanted) throws IOException {
    long perTask = layout.pairing() == null ? 1 : 2;
    while (tasksMade * perTask < rowsWanted) {
      job(rowsWanted, perTask);
      while (lines.size() > MAX_WAITING || (!lines.isEmpty() && lines.peek().at + shuffle < now)) {
        write(lines.poll());
      }
    }
    while (!lines.isEmpty()) {
      write(lines.poll());
    }
    out.flush();
    return new Generated(rows, tasks, bad, shuffled);
  }

  private void job(long rowsWanted, long perTask) {
    double burst = random.nextInt(20) == 0 ? 0.1 : 1;
    now += (long) (-Math.log(1 - random.nextDouble()) * GAP_MEAN_S * burst * TICKS_PER_SECOND);
    long job = 3_000_000_000L + random.nextInt(1 << 30);
    int user = (int) (USERS * Math.pow(random.nextDouble(), 3));
    int size = 1 + (int) (MAX_TASKS_PER_JOB * Math.pow(random.nextDouble(), 4));
    int importance = random.nextInt(10) < 7 ? 0 : 1 + random.nextInt(10);
    for (int i = 0; i < size && tasksMade * perTask < rowsWanted; i++) {
      long start = now + random.nextInt((int) TICKS_PER_SECOND);
      double span = Math.exp(random.nextGaussian() * SPAN_SIGMA) * SPAN_MEDIAN_S * TICKS_PER_SECOND;
      task(job, i, user, importance, start, start + (long) Math.max(TICKS_PER_SECOND, span));
      tasksMade++;
    }
  }

  private void task(long job, int index, int user, int importance, long start, long end) {
    tasks++;
    long startSecond = (long) (start / TICKS_PER_SECOND);
    long endSecond = (long) Math.ceil(end / TICKS_PER_SECOND);
    if (layout.equals(Layout.GOOGLE_2011)) {
      google(job, index, user, importance, start, end);
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
      azure(job, index, user, importance, start, startSecond, endSecond);
    }
  }

  private void azure(
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

  private void google(long job, int index, int user, int importance, long start, long end) {
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
    add(start, start, start * MICROS_PER_TICK + head + "1" + tail);
    add(end, end, end * MICROS_PER_TICK + head + "4" + tail);
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

  private void add(long at, long ownTime, String text) {
    long late = shuffle == 0 ? 0 : (long) (random.nextDouble() * shuffle);
    lines.add(new Line(at + late, linesAdded++, ownTime, text));
  }

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

  private byte[] corrupted(SkipReason reason, String line) {
    String[] parts = line.split(",", -1);
    int time = layout.equals(Layout.GOOGLE_2011) ? 0 : layout.columns().indexOf(layout.start());
    String text =
        switch (reason) {
          case TOO_FEW_COLUMNS -> line.substring(0, line.lastIndexOf(','));
          case TOO_MANY_COLUMNS -> line + ",x";
          case QUOTE_OPEN -> line.replaceFirst(",", ",\"");
          case NUL, BROKEN_UTF8 -> line;
          case NOT_A_NUMBER -> with(parts, time, "soon");
          case OUT_OF_RANGE -> with(parts, time, "-7");
          default ->
              with(
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

  private static String with(String[] parts, int place, String text) {
    String[] changed = parts.clone();
    changed[place] = text;
    return String.join(",", changed);
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
