package tillerlink.faultinjection.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The faults that are injected into a cluster in one run. A generated schedule depends only on its
 * seed and length.
 *
 * @param seed the seed of the schedule
 * @param gateways the number of gateways
 * @param sites the number of sites
 * @param lengthMs the length of the run, in milliseconds
 * @param steps the faults
 */
public record Schedule(long seed, int gateways, int sites, long lengthMs, List<Step> steps) {
  private static final List<Step.Kind> KINDS = List.of(Step.Kind.values());
  private static final int MIN_GATEWAYS = 3;
  private static final int MAX_GATEWAYS = 12;
  private static final long FIRST_FAULT_MS = 500;

  /** Copies the steps. */
  public Schedule {
    steps = List.copyOf(steps);
  }

  /**
   * Generates the schedule of a seed. Most schedules have few gateways, because these cover the
   * most cases per minute.
   *
   * @param lengthMs the length of the run, in milliseconds
   */
  public static Schedule of(long seed, long lengthMs) {
    RandomGenerator random = new SplittableRandom(seed);
    int gateways =
        random.nextInt(4) == 0
            ? random.nextInt(MIN_GATEWAYS, MAX_GATEWAYS + 1)
            : random.nextInt(MIN_GATEWAYS, MIN_GATEWAYS + 3);
    int sites = random.nextInt(2, Math.min(4, gateways) + 1);
    List<Step> steps = new ArrayList<>();
    int count = random.nextInt(3, 10);
    for (int i = 0; i < count; i++) {
      steps.add(step(random, gateways, lengthMs));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    return new Schedule(seed, gateways, sites, lengthMs, steps);
  }

  private static Step step(RandomGenerator random, int gateways, long lengthMs) {
    Step.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
    long at = random.nextLong(FIRST_FAULT_MS, lengthMs);
    int who = random.nextInt(gateways);
    int other = (who + 1 + random.nextInt(gateways - 1)) % gateways;
    long duration = random.nextLong(200, Math.max(201, lengthMs / 2));
    double draw = random.nextDouble();
    double amount =
        switch (kind) {
          case LOSSY -> 0.1 + draw * 0.4;
          case MUDDLED -> 0.1 + draw * 0.5;
          case LATE -> 50 + draw * 2000;
          case SLOW -> 2_000 + draw * 30_000;
          case SMALL -> 200 + draw * 1000;
          default -> 0;
        };
    boolean hasOtherEnd =
        switch (kind) {
          case CUT, CUT_ONE_WAY, SLOW, SMALL -> true;
          default -> false;
        };
    // A partition separates the gateways before the named one from it and the later ones. Gateway 0
    // is never named, so that neither side is empty.
    String name = "n" + (kind == Step.Kind.PARTED ? Math.max(1, who) : who);
    return new Step(at, kind, name, hasOtherEnd ? "n" + other : "", duration, amount);
  }

  /** Returns the same schedule with other steps. */
  public Schedule with(List<Step> otherSteps) {
    return new Schedule(seed, gateways, sites, lengthMs, otherSteps);
  }

  @Override
  public String toString() {
    StringBuilder text =
        new StringBuilder(
            "seed "
                + seed
                + ", "
                + gateways
                + " gateways at "
                + sites
                + " sites, "
                + lengthMs
                + " ms\n");
    steps.forEach(step -> text.append(step).append('\n'));
    return text.toString();
  }
}
