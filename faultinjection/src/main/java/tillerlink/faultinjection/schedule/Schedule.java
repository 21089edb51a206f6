package tillerlink.faultinjection.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** The faults that hit a cluster in one run; all follow from the seed. */
public record Schedule(long seed, int gateways, int sites, long lengthMs, List<Step> steps) {
  private static final List<Step.Kind> KINDS = List.of(Step.Kind.values());
  private static final int MIN_GATEWAYS = 3;
  private static final int MAX_GATEWAYS = 12;
  private static final long FIRST_FAULT_MS = 500;

  /** Copies the steps. */
  public Schedule {
    steps = List.copyOf(steps);
  }

  /** The schedule of a seed; mostly with few gateways, which covers the most cases per minute. */
  public static Schedule of(long seed, long lengthMs) {
    RandomGenerator chance = new SplittableRandom(seed);
    int gateways =
        chance.nextInt(4) == 0
            ? chance.nextInt(MIN_GATEWAYS, MAX_GATEWAYS + 1)
            : chance.nextInt(MIN_GATEWAYS, MIN_GATEWAYS + 3);
    int sites = chance.nextInt(2, Math.min(4, gateways) + 1);
    List<Step> steps = new ArrayList<>();
    int count = chance.nextInt(3, 10);
    for (int i = 0; i < count; i++) {
      steps.add(step(chance, gateways, lengthMs));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    return new Schedule(seed, gateways, sites, lengthMs, steps);
  }

  private static Step step(RandomGenerator chance, int gateways, long lengthMs) {
    Step.Kind kind = KINDS.get(chance.nextInt(KINDS.size()));
    long at = chance.nextLong(FIRST_FAULT_MS, lengthMs);
    int who = chance.nextInt(gateways);
    int other = (who + 1 + chance.nextInt(gateways - 1)) % gateways;
    long duration = chance.nextLong(200, Math.max(201, lengthMs / 2));
    double draw = chance.nextDouble();
    double amount =
        switch (kind) {
          case LOSSY -> 0.1 + draw * 0.4;
          case MUDDLED -> 0.1 + draw * 0.5;
          case LATE -> 50 + draw * 2000;
          case SLOW -> 2_000 + draw * 30_000;
          case SMALL -> 200 + draw * 1000;
          default -> 0;
        };
    boolean pair =
        switch (kind) {
          case CUT, CUT_ONE_WAY, SLOW, SMALL -> true;
          default -> false;
        };
    // The gateways before this one are on one side of the partition, so that each side has one.
    String name = "n" + (kind == Step.Kind.PARTED ? Math.max(1, who) : who);
    return new Step(at, kind, name, pair ? "n" + other : "", duration, amount);
  }

  /** The same schedule with other steps. */
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
