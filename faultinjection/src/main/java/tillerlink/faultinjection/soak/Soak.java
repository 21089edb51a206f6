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
import tillerlink.faultinjection.play.Cutter;

/**
 * Plays random schedules of overlapping faults over real gateway processes for some minutes, judged
 * from outside by the seven rules. It ends with 0 only if nothing broke; a schedule in which
 * something did is printed, and cut down.
 */
public final class Soak {
  private static final long LENGTH_MS = 20_000;
  private static final int TRIES = 6;
  private static final double MS_PER_HOUR = 3_600_000;

  private final Path folder;
  private final PrintStream out;
  private final Map<SoakFault.Kind, Integer> faults = new EnumMap<>(SoakFault.Kind.class);
  private final Map<String, Integer> pairs = new TreeMap<>();
  private int runs;
  private int broken;
  private long requests;
  private long attempts;
  private double processMs;

  private Soak(Path folder, PrintStream out) {
    this.folder = folder;
    this.out = out;
  }

  /**
   * @param args the seed, for how many minutes a run may begin, and how many processes; with a
   *     fourth, just the one run of that very seed
   */
  public static void main(String[] args) throws IOException {
    if (args.length < 3) {
      System.err.println("soak SEED MINUTES PROCESSES, or soak SEED 0 PROCESSES once");
      System.exit(2);
    }
    Soak soak = new Soak(Files.createTempDirectory("soak"), System.out);
    boolean quiet =
        soak.go(
            Long.parseLong(args[0]),
            Double.parseDouble(args[1]),
            Integer.parseInt(args[2]),
            args.length > 3);
    System.exit(quiet ? 0 : 1);
  }

  private boolean go(long seed, double minutes, int processes, boolean once) throws IOException {
    RandomGenerator chance = new SplittableRandom(seed);
    long until = System.nanoTime() + (long) (minutes * 60e9);
    do {
      one(SoakSchedule.of(once ? seed : chance.nextLong(1L << 40), processes, LENGTH_MS));
    } while (!once && System.nanoTime() < until);
    out.printf(Locale.ROOT, "faults by kind: %s%n", faults);
    out.printf(
        Locale.ROOT,
        "pairs of kinds that overlapped: %d of %d%n",
        pairs.size(),
        SoakFault.Kind.values().length * (SoakFault.Kind.values().length + 1) / 2);
    out.printf(
        Locale.ROOT,
        "%d runs, %d broken; %.2f process-hours, %d requests, %d attempts%n",
        runs,
        broken,
        processMs / MS_PER_HOUR,
        requests,
        attempts);
    return broken == 0;
  }

  private void one(SoakSchedule schedule) throws IOException {
    SoakPlay.Result result = play(schedule);
    runs++;
    requests += result.requests();
    attempts += result.attempts();
    processMs += (double) schedule.gateways() * schedule.lengthMs();
    result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
    result.pairs().forEach((pair, n) -> pairs.merge(pair, n, Integer::sum));
    boolean fine = result.violations().isEmpty();
    broken += fine ? 0 : 1;
    out.printf(
        Locale.ROOT,
        "run %d: seed %d, %d faults, %d requests (%d served, %d refused), %d attempts, rig late by"
            + " %.0f ms at most: %s%n",
        runs,
        schedule.seed(),
        schedule.faults().size(),
        result.requests(),
        result.served(),
        result.refused(),
        result.attempts(),
        result.worstLag(),
        fine ? "fine" : "BROKEN " + result.counts());
    if (!fine) {
      result.violations().forEach(out::println);
      out.print(schedule);
      SoakRule rule = result.violations().get(0).rule();
      out.println(
          "cutting it down to what still breaks " + rule + ", " + TRIES + " runs at the most");
      List<SoakFault> shortest =
          Cutter.cut(schedule.faults(), steps -> breaks(schedule.with(steps), rule), TRIES);
      out.println("the shortest that still does:");
      out.print(schedule.with(shortest));
    }
  }

  private boolean breaks(SoakSchedule schedule, SoakRule rule) {
    try {
      return play(schedule).counts().containsKey(rule);
    } catch (IOException e) {
      out.println("a shorter one could not be played: " + e.getMessage());
      return false;
    }
  }

  private SoakPlay.Result play(SoakSchedule schedule) throws IOException {
    Path own = Files.createTempDirectory(folder, "run");
    SoakPlay.Result result;
    try (SoakPlay play = new SoakPlay(schedule, own, System.getProperty("java.class.path"))) {
      result = play.play();
    }
    if (result.violations().isEmpty()) {
      try (Stream<Path> all = Files.walk(own)) {
        for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(one);
        }
      }
    } else {
      out.println("its logs are kept in " + own);
    }
    return result;
  }
}
