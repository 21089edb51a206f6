package tillerlink.faultinjection.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import tillerlink.faultinjection.schedule.ScheduleShrinker;

/**
 * Command-line program that runs random schedules of overlapping faults on gateway processes for a
 * given number of minutes, and checks the rules from the observations of clients, engines and the
 * discovery service. A schedule with a violation is printed and shrunk. The exit code is 0 if no
 * rule was violated, 1 if one was, and 2 if arguments are missing.
 */
public final class Soak {
  private static final long SCHEDULE_MS = 20_000;
  private static final int MAX_SHRINK_RUNS = 6;
  private static final double NANOS_PER_MINUTE = 60e9;
  private static final double MS_PER_HOUR = 3_600_000;

  private final Path folder;
  private final PrintStream out;
  private final Map<SoakFault.Kind, Integer> faults = new EnumMap<>(SoakFault.Kind.class);
  private final Map<String, Integer> pairs = new TreeMap<>();
  private int schedulesRun;
  private int schedulesFailed;
  private long requests;
  private long attempts;
  private double processMs;

  private Soak(Path folder, PrintStream out) {
    this.folder = folder;
    this.out = out;
  }

  /**
   * Runs the program.
   *
   * @param args the seed, the number of minutes within which new runs may start, and the number of
   *     gateway processes; with a fourth argument, the schedule of exactly that seed is run once
   * @throws IOException if the folders or processes of a run cannot be created
   */
  public static void main(String[] args) throws IOException {
    if (args.length < 3) {
      System.err.println("usage: soak SEED MINUTES PROCESSES, or soak SEED 0 PROCESSES once");
      System.exit(2);
    }
    Soak soak = new Soak(Files.createTempDirectory("soak"), System.out);
    boolean passed =
        soak.run(
            Long.parseLong(args[0]),
            Double.parseDouble(args[1]),
            Integer.parseInt(args[2]),
            args.length > 3);
    System.exit(passed ? 0 : 1);
  }

  private boolean run(long seed, double minutes, int processes, boolean once) throws IOException {
    RandomGenerator random = new SplittableRandom(seed);
    long deadline = System.nanoTime() + (long) (minutes * NANOS_PER_MINUTE);
    do {
      runOne(SoakSchedule.of(once ? seed : random.nextLong(1L << 40), processes, SCHEDULE_MS));
    } while (!once && System.nanoTime() < deadline);
    out.printf(Locale.ROOT, "faults by kind: %s%n", faults);
    out.printf(
        Locale.ROOT,
        "overlapping pairs of fault kinds: %d of %d%n",
        pairs.size(),
        SoakFault.Kind.values().length * (SoakFault.Kind.values().length + 1) / 2);
    out.printf(
        Locale.ROOT,
        "%d runs, %d broken; %.2f process-hours, %d requests, %d attempts%n",
        schedulesRun,
        schedulesFailed,
        processMs / MS_PER_HOUR,
        requests,
        attempts);
    return schedulesFailed == 0;
  }

  private void runOne(SoakSchedule schedule) throws IOException {
    SoakRun.Result result = run(schedule);
    schedulesRun++;
    requests += result.requests();
    attempts += result.attempts();
    processMs += (double) schedule.gateways() * schedule.lengthMs();
    result.faults().forEach((kind, count) -> faults.merge(kind, count, Integer::sum));
    result.pairs().forEach((pair, count) -> pairs.merge(pair, count, Integer::sum));
    boolean passed = result.violations().isEmpty();
    schedulesFailed += passed ? 0 : 1;
    out.printf(
        Locale.ROOT,
        "run %d: seed %d, %d faults, %d requests (%d served, %d refused), %d attempts, harness lag"
            + " up to %.0f ms: %s%n",
        schedulesRun,
        schedule.seed(),
        schedule.faults().size(),
        result.requests(),
        result.served(),
        result.refused(),
        result.attempts(),
        result.worstLag(),
        passed ? "fine" : "BROKEN " + result.counts());
    if (!passed) {
      result.violations().forEach(out::println);
      out.print(schedule);
      SoakRule rule = result.violations().get(0).rule();
      out.println(
          "shrinking the schedule while it still violates "
              + rule
              + ", in at most "
              + MAX_SHRINK_RUNS
              + " runs");
      List<SoakFault> shortest =
          ScheduleShrinker.shrink(
              schedule.faults(), steps -> violates(schedule.with(steps), rule), MAX_SHRINK_RUNS);
      out.println("shortest failing schedule found:");
      out.print(schedule.with(shortest));
    }
  }

  private boolean violates(SoakSchedule schedule, SoakRule rule) {
    try {
      return run(schedule).counts().containsKey(rule);
    } catch (IOException e) {
      out.println("a shorter schedule could not be run: " + e.getMessage());
      return false;
    }
  }

  private SoakRun.Result run(SoakSchedule schedule) throws IOException {
    Path runFolder = Files.createTempDirectory(folder, "run");
    SoakRun.Result result;
    try (SoakRun soakRun =
        new SoakRun(schedule, runFolder, System.getProperty("java.class.path"))) {
      result = soakRun.run();
    }
    if (result.violations().isEmpty()) {
      try (Stream<Path> all = Files.walk(runFolder)) {
        for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    } else {
      out.println("logs of the failed run: " + runFolder);
    }
    return result;
  }
}
