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
import tillerlink.faultinjection.play.Cutter;
import tillerlink.faultinjection.play.Play;
import tillerlink.faultinjection.play.Played;
import tillerlink.faultinjection.play.Schedule;
import tillerlink.faultinjection.play.Step;
import tillerlink.faultinjection.process.Plan;

/**
 * Plays random schedules of faults over processes of the program for some minutes. It ends with 0
 * only if nothing broke; a schedule in which something did is cut down, and the shortest that still
 * fails is told.
 */
public final class FaultInjectionRunner {
  private static final int TRIES = 10;
  private static final long LENGTH_MS = 8_000;

  private final Path folder;
  private final Plan.Shared shared;
  private final PrintStream out;
  private final Map<Step.Kind, Integer> faults = new TreeMap<>();
  private int plays;
  private int requests;
  private int appends;
  private int runs;
  private int violationCount;

  private FaultInjectionRunner(Path folder, Plan.Shared shared, PrintStream out) {
    this.folder = folder;
    this.shared = shared;
    this.out = out;
  }

  /**
   * @param args the seed, and how many minutes at the most a play may begin in; with a third, only
   *     the play of exactly that seed, which a fault-injection run has told
   */
  public static void main(String[] args) throws IOException {
    if (args.length < 2) {
      System.err.println(
          "SEED MINUTES, or SEED 0 once for one play of a seed that an earlier run has named");
      System.exit(2);
    }
    FaultInjectionRunner storm =
        new FaultInjectionRunner(
            Files.createTempDirectory("fault-injection"),
            Plan.Shared.valueOf(System.getProperty("faultinjection.parts", "STATEMENTS")),
            System.out);
    boolean quiet = storm.go(Long.parseLong(args[0]), Double.parseDouble(args[1]), args.length > 2);
    System.exit(quiet ? 0 : 1);
  }

  private boolean go(long seed, double minutes, boolean once) throws IOException {
    RandomGenerator chance = new SplittableRandom(seed);
    long until = System.nanoTime() + (long) (minutes * 60e9);
    do {
      one(Schedule.of(once ? seed : chance.nextLong(1L << 48), LENGTH_MS));
    } while (!once && violationCount == 0 && System.nanoTime() < until);
    out.printf(
        Locale.ROOT,
        "%d plays; faults: %s; %d submissions, %d appends, %d prepared runs; %d violations%n",
        plays,
        faults,
        requests,
        appends,
        runs,
        violationCount);
    return violationCount == 0;
  }

  private void one(Schedule schedule) throws IOException {
    Played played = play(schedule);
    plays++;
    requests += played.requests();
    appends += played.appends();
    runs += played.runs();
    violationCount += played.violationCount();
    played.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
    out.printf(
        Locale.ROOT,
        "play %d: seed %d, %d gateways, %d faults, %d submissions, %d appends, %d runs: %s%n",
        plays,
        schedule.seed(),
        schedule.gateways(),
        schedule.steps().size(),
        played.requests(),
        played.appends(),
        played.runs(),
        played.violations().isEmpty() ? "fine" : "BROKEN");
    if (!played.violations().isEmpty()) {
      played.violations().forEach(out::println);
      Rule rule = played.violations().get(0).rule();
      out.println(
          "cutting it down to what still breaks " + rule + ", " + TRIES + " plays at the most");
      Schedule shortest = Cutter.cut(schedule, shorter -> breaks(shorter, rule), TRIES);
      out.println("the shortest that still does:");
      out.print(shortest);
    }
  }

  private boolean breaks(Schedule schedule, Rule rule) {
    try {
      List<Violation> violations = play(schedule).violations();
      return violations.stream().anyMatch(violation -> violation.rule() == rule);
    } catch (IOException e) {
      out.println("a shorter one could not be played: " + e.getMessage());
      return false;
    }
  }

  private Played play(Schedule schedule) throws IOException {
    Path own = Files.createTempDirectory(folder, "play");
    Played played = new Play(own, System.getProperty("java.class.path"), shared).play(schedule);
    if (played.violations().isEmpty()) {
      try (Stream<Path> all = Files.walk(own)) {
        for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(one);
        }
      }
    } else {
      out.println("its logs are kept in " + own);
    }
    return played;
  }
}
