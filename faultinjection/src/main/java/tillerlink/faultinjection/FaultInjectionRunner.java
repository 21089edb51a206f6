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
 * Runs random schedules of faults on clusters of gateway processes for some minutes. The exit code
 * is 0 only if no rule was violated. A schedule with a violation is shrunk, and the shortest that
 * still fails is printed.
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
   * Runs from the command line.
   *
   * @param args the seed, and for how many minutes runs may begin; with a third argument, only the
   *     one run of exactly that seed
   */
  public static void main(String[] args) throws IOException {
    if (args.length < 2) {
      System.err.println(
          "SEED MINUTES, or SEED 0 once for one play of a seed that an earlier run has named");
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
    RandomGenerator chance = new SplittableRandom(seed);
    long deadline = System.nanoTime() + (long) (minutes * NANOS_PER_MINUTE);
    do {
      runOne(Schedule.of(once ? seed : chance.nextLong(1L << 48), SCHEDULE_MS));
    } while (!once && violationCount == 0 && System.nanoTime() < deadline);
    out.printf(
        Locale.ROOT,
        "%d plays; faults: %s; %d submissions, %d appends, %d prepared runs; %d violations%n",
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
        "play %d: seed %d, %d gateways, %d faults, %d submissions, %d appends, %d runs: %s%n",
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
          "cutting it down to what still breaks "
              + rule
              + ", "
              + MAX_SHRINK_RUNS
              + " plays at the most");
      Schedule shortest =
          ScheduleShrinker.shrink(schedule, shorter -> violates(shorter, rule), MAX_SHRINK_RUNS);
      out.println("the shortest that still does:");
      out.print(shortest);
    }
  }

  private boolean violates(Schedule schedule, Rule rule) {
    try {
      List<Violation> violations = run(schedule).violations();
      return violations.stream().anyMatch(violation -> violation.rule() == rule);
    } catch (IOException e) {
      out.println("a shorter one could not be played: " + e.getMessage());
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
      out.println("its logs are kept in " + runFolder);
    }
    return result;
  }
}
