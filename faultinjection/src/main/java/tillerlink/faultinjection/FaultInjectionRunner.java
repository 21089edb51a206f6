package tillerlink.faultinjection;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.audit.Violation;
import tillerlink.faultinjection.process.GatewaySpec;
import tillerlink.faultinjection.schedule.RunResult;
import tillerlink.faultinjection.schedule.Schedule;
import tillerlink.faultinjection.schedule.ScheduleRunner;
import tillerlink.faultinjection.schedule.ScheduleShrinker;
import tillerlink.faultinjection.schedule.Step;

/**
 * Command-line program that runs random fault schedules on clusters of gateway processes for a
 * given number of minutes. It stops at the first schedule that violates a rule, shrinks it, and
 * prints the shortest schedule that still fails. The exit code is 0 if no rule was violated, 1 if
 * one was, and 2 if arguments are missing.
 */
public final class FaultInjectionRunner {
  private static final double NANOS_PER_MINUTE = 60e9;
  private static final int MAX_SHRINK_RUNS = 10;
  private static final long SCHEDULE_MS = 8_000;

  private final Path folder;
  private final GatewaySpec.Shared shared;
  private final PrintStream out;
  private final Map<Step.Kind, Integer> faults = new TreeMap<>();
  private int schedulesRun;
  private int requests;
  private int appends;
  private int runs;
  private int violationCount;

  private FaultInjectionRunner(Path folder, GatewaySpec.Shared shared, PrintStream out) {
    this.folder = folder;
    this.shared = shared;
    this.out = out;
  }

  /**
   * Runs the program.
   *
   * @param args the seed, and the number of minutes within which new runs may start; with a third
   *     argument, the schedule of exactly that seed is run once
   * @throws IOException if the folders or processes of a run cannot be created
   */
  public static void main(String[] args) throws IOException {
    if (args.length < 2) {
      System.err.println(
          "usage: SEED MINUTES, or SEED 0 once to repeat the schedule of a reported seed");
      System.exit(2);
    }
    FaultInjectionRunner runner =
        new FaultInjectionRunner(
            Files.createTempDirectory("fault-injection"),
            GatewaySpec.Shared.valueOf(System.getProperty("faultinjection.parts", "STATEMENTS")),
            System.out);
    boolean passed =
        runner.run(Long.parseLong(args[0]), Double.parseDouble(args[1]), args.length > 2);
    System.exit(passed ? 0 : 1);
  }

  private boolean run(long seed, double minutes, boolean once) throws IOException {
    RandomGenerator random = new SplittableRandom(seed);
    long deadline = System.nanoTime() + (long) (minutes * NANOS_PER_MINUTE);
    do {
      runOne(Schedule.of(once ? seed : random.nextLong(1L << 48), SCHEDULE_MS));
    } while (!once && violationCount == 0 && System.nanoTime() < deadline);
    out.printf(
        Locale.ROOT,
        "%d runs; faults: %s; %d requests, %d appends, %d prepared runs; %d violations%n",
        schedulesRun,
        faults,
        requests,
        appends,
        runs,
        violationCount);
    return violationCount == 0;
  }

  private void runOne(Schedule schedule) throws IOException {
    RunResult result = run(schedule);
    schedulesRun++;
    requests += result.requests();
    appends += result.appends();
    runs += result.runs();
    violationCount += result.violationCount();
    result.faults().forEach((kind, count) -> faults.merge(kind, count, Integer::sum));
    out.printf(
        Locale.ROOT,
        "run %d: seed %d, %d gateways, %d faults, %d requests, %d appends, %d prepared runs: %s%n",
        schedulesRun,
        schedule.seed(),
        schedule.gateways(),
        schedule.steps().size(),
        result.requests(),
        result.appends(),
        result.runs(),
        result.violations().isEmpty() ? "fine" : "BROKEN");
    if (!result.violations().isEmpty()) {
      result.violations().forEach(out::println);
      Rule rule = result.violations().get(0).rule();
      out.println(
          "shrinking the schedule while it still violates "
              + rule
              + ", in at most "
              + MAX_SHRINK_RUNS
              + " runs");
      Schedule shortest =
          ScheduleShrinker.shrink(schedule, shorter -> violates(shorter, rule), MAX_SHRINK_RUNS);
      out.println("shortest failing schedule found:");
      out.print(shortest);
    }
  }

  private boolean violates(Schedule schedule, Rule rule) {
    try {
      List<Violation> violations = run(schedule).violations();
      return violations.stream().anyMatch(violation -> violation.rule() == rule);
    } catch (IOException e) {
      out.println("a shorter schedule could not be run: " + e.getMessage());
      return false;
    }
  }

  private RunResult run(Schedule schedule) throws IOException {
    Path runFolder = Files.createTempDirectory(folder, "play");
    RunResult result =
        new ScheduleRunner(runFolder, System.getProperty("java.class.path"), shared).run(schedule);
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
