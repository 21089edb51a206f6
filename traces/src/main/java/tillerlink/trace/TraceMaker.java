package tillerlink.trace;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Makes a trace in a published layout: jobs come in bursts, spans are log-normal with a heavy tail,
 * a few users own most jobs. Some rows are spoilt and some stand out of order, and it tells how
 * many of each it wrote. Nothing of a real trace is in it.
 */
public final class TraceMaker implements Closeable {
  private static final double SPAN_SIGMA = 1.2;
  private static final double SPAN_MEDIAN_S = 40;
  private static final double GAP_MEAN_S = 0.5;
  private static final int USERS = 300;
  private static final int TASKS_MOST = 12;
  private static final double SECOND = 10_000;

  /** Rows made and not yet written: those of the layouts that tell an end wait for it. */
  private static final int WAITING_MOST = 1 << 18;

  /**
   * What was written.
   *
   * @param shuffled rows that stand behind one of a later time
   */
  public record Made(long rows, long tasks, Map<Skip, Long> bad, long shuffled) {
    public long allBad() {
      return bad.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  /**
   * One row: when it is written, its place among those written at once, and its own time in the
   * file's unit.
   */
  private record Line(long at, long number, long own, String text) {}

  private static final Skip[] SPOILS = {
    Skip.TOO_FEW_COLUMNS,
    Skip.TOO_MANY_COLUMNS,
    Skip.QUOTE_OPEN,
    Skip.NUL,
    Skip.BROKEN_UTF8,
    Skip.NOT_A_NUMBER,
    Skip.OUT_OF_RANGE,
    Skip.LINE_TOO_LONG
  };

  private final Layout layout;
  private final Random random;
  private final double badShare;
  private final long shuffle;
  private final OutputStream out;
  private final Map<Skip, Long> bad = new EnumMap<>(Skip.class);
  private final PriorityQueue<Line> lines =
      new PriorityQueue<>(Comparator.comparingLong(Line::at).thenComparingLong(Line::number));
  private long now;
  private long rows;
  private long tasks;
  private long shuffled;
  private long made;
  private long numbered;
  private long latestWritten = Long.MIN_VALUE;

  /**
   * @param shuffle by how much a row may stand behind its place, in tenths of a millisecond of the
   *     trace
   */
  public TraceMaker(Layout layout, long seed, double badShare, long shuffle, OutputStream out) {
    if (!Layout.KNOWN.contains(layout)) {
      throw new IllegalArgumentException("only the layouts that are built in can be made");
    }
    this.layout = layout;
    this.random = new Random(seed);
    this.badShare = badShare;
    this.shuffle = shuffle;
    this.out = new BufferedOutputStream(out, 1 << 16);
    now = layout == Layout.GOOGLE_2011 ? (long) (600 * SECOND) : 0;
  }

  /** Writes about so many good rows and, between them, the bad ones. */
  public Made make(long rowsWanted) throws IOException {
    long perTask = layout.pairing() == null ? 1 : 2;
    while (made * perTask < rowsWanted) {
      job(rowsWanted, perTask);
      while (lines.size() > WAITING_MOST || !lines.isEmpty() && lines.peek().at + shuffle < now) {
        write(lines.poll());
      }
    }
    while (!lines.isEmpty()) {
      write(lines.poll());
    }
    out.flush();
    return new Made(rows, tasks, bad, shuffled);
  }

  private void job(long rowsWanted, long perTask) {
    double burst = random.nextInt(20) == 0 ? 0.1 : 1;
    now += (long) (-Math.log(1 - random.nextDouble()) * GAP_MEAN_S * burst * SECOND);
    long job = 3_000_000_000L + random.nextInt(1 << 30);
    int user = (int) (USERS * Math.pow(random.nextDouble(), 3));
    int size = 1 + (int) (TASKS_MOST * Math.pow(random.nextDouble(), 4));
    int importance = random.nextInt(10) < 7 ? 0 : 1 + random.nextInt(10);
    for (int i = 0; i < size && made * perTask < rowsWanted; i++) {
      long start = now + random.nextInt((int) SECOND);
      double span = Math.exp(random.nextGaussian() * SPAN_SIGMA) * SPAN_MEDIAN_S * SECOND;
      task(job, i, user, importance, start, start + (long) Math.max(SECOND, span));
      made++;
    }
  }

  private void task(long job, int index, int user, int importance, long start, long end) {
    tasks++;
    long from = (long) (start / SECOND);
    long to = (long) Math.ceil(end / SECOND);
    if (layout == Layout.GOOGLE_2011) {
      double cpu = 0.01 + 0.05 * random.nextInt(5);
      String tail =
          ",u"
              + user
              + ","
              + importance % 4
              + ","
              + importance
              + ","
              + decimal(cpu)
              + ","
              + decimal(0.005 + 0.1 * random.nextDouble())
              + ",0.0001,0";
      String head = ",," + job + "," + index + "," + random.nextInt(12_000) + ",";
      add(start, start, start * 100 + head + "1" + tail);
      add(end, end, end * 100 + head + "4" + tail);
    } else if (layout == Layout.ALIBABA_2018) {
      add(
          start,
          from,
          "task_"
              + index
              + ",1,j_"
              + job
              + ","
              + (1 + importance)
              + ",Terminated,"
              + from
              + ","
              + to
              + ","
              + 50 * (1 + random.nextInt(4))
              + ","
              + decimal(0.1 + random.nextDouble()));
    } else {
      String category =
          importance == 0 ? "Delay-insensitive" : importance < 5 ? "Interactive" : "Unknown";
      String[] cores = {"2", "4", "8", ">24"};
      int size = (int) (cores.length * Math.pow(random.nextDouble(), 4));
      add(
          start,
          from,
          "vm"
              + job
              + "/"
              + index
              + ",sub"
              + user
              + ",dep"
              + job
              + ","
              + from
              + ","
              + to
              + ",90.5,12.25,60.0,"
              + category
              + ","
              + cores[size]
              + ","
              + (4 << size));
    }
  }

  private static String decimal(double number) {
    return String.format(Locale.ROOT, "%.4f", number);
  }

  private void add(long at, long own, String text) {
    long late = shuffle == 0 ? 0 : (long) (random.nextDouble() * shuffle);
    lines.add(new Line(at + late, numbered++, own, text));
  }

  private void write(Line line) throws IOException {
    put(line.text.getBytes(StandardCharsets.UTF_8));
    if (line.own < latestWritten) {
      shuffled++;
    }
    latestWritten = Math.max(latestWritten, line.own);
    if (random.nextDouble() < badShare) {
      Skip cause = SPOILS[random.nextInt(SPOILS.length)];
      bad.merge(cause, 1L, Long::sum);
      put(spoilt(cause, line.text));
    }
  }

  private void put(byte[] row) throws IOException {
    out.write(row);
    out.write('\n');
    rows++;
  }

  private byte[] spoilt(Skip cause, String good) {
    String[] parts = good.split(",", -1);
    int time = layout == Layout.GOOGLE_2011 ? 0 : layout.columns().indexOf(layout.start());
    String text =
        switch (cause) {
          case TOO_FEW_COLUMNS -> good.substring(0, good.lastIndexOf(','));
          case TOO_MANY_COLUMNS -> good + ",x";
          case QUOTE_OPEN -> good.replaceFirst(",", ",\"");
          case NUL, BROKEN_UTF8 -> good;
          case NOT_A_NUMBER -> with(parts, time, "soon");
          case OUT_OF_RANGE -> with(parts, time, "-7");
          default ->
              with(parts, parts.length - 1, "9".repeat(Lines.LINE_MOST + random.nextInt(100)));
        };
    byte[] row = text.getBytes(StandardCharsets.UTF_8);
    if (cause == Skip.NUL) {
      row[row.length - 1] = 0;
    } else if (cause == Skip.BROKEN_UTF8) {
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
