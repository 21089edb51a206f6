package tillerlink.faultinjection.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The faults of one soak run. A generated schedule depends only on its seed, the number of gateways
 * and the length.
 *
 * @param seed the seed of the schedule
 * @param gateways the number of gateways
 * @param engines the number of engines
 * @param lengthMs the length of the run, in milliseconds
 * @param faults the faults
 */
public record SoakSchedule(
    long seed, int gateways, int engines, long lengthMs, List<SoakFault> faults) {
  /** The smallest time without faults at the start; some bugs occur only after such a time. */
  private static final long MIN_QUIET_MS = 1_000;

  private static final int MIN_ENGINES = 5;
  private static final int ENGINES_SPREAD = 5;

  /** Copies the faults. */
  public SoakSchedule {
    faults = List.copyOf(faults);
  }

  /**
   * Generates the schedule of a seed: draws a subset of the kinds of fault, and then overlapping
   * faults of these kinds.
   *
   * @param lengthMs the length of the run, in milliseconds
   */
  public static SoakSchedule of(long seed, int gateways, long lengthMs) {
    RandomGenerator random = new SplittableRandom(seed);
    int engines = MIN_ENGINES + random.nextInt(ENGINES_SPREAD);
    List<SoakFault.Kind> kinds = new ArrayList<>(List.of(SoakFault.Kind.values()));
    while (kinds.size() > 6 + random.nextInt(6)) {
      kinds.remove(random.nextInt(kinds.size()));
    }
    long quietMs = MIN_QUIET_MS + random.nextLong(lengthMs / 4);
    int count = (int) (gateways * lengthMs / 12_000) + 6;
    List<SoakFault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      SoakFault.Kind kind = kinds.get(random.nextInt(kinds.size()));
      int who = random.nextInt(kind.target == SoakFault.Target.GATEWAY ? gateways : engines);
      long at = random.nextLong(quietMs, lengthMs);
      faults.add(new SoakFault(at, duration(kind, random), kind, who, random.nextDouble()));
    }
    faults.sort(Comparator.comparingLong(SoakFault::atMs));
    return new SoakSchedule(seed, gateways, engines, lengthMs, faults);
  }

  private static long duration(SoakFault.Kind kind, RandomGenerator random) {
    return switch (kind) {
      case STOPPED ->
          random.nextBoolean() ? random.nextLong(200, 3_000) : random.nextLong(200, 10_000);
      case NAMES_DOWN -> random.nextLong(500, 10_000);
      case KILLED, TERMINATED -> random.nextLong(100, 2_000);
      case ENGINE_DRAINS, ENGINE_VANISHES, ENGINE_CRASHES -> random.nextLong(1_500, 6_000);
      default -> random.nextLong(300, 5_000);
    };
  }

  /** Returns the same schedule with other faults. */
  public SoakSchedule with(List<SoakFault> otherFaults) {
    return new SoakSchedule(seed, gateways, engines, lengthMs, otherFaults);
  }

  @Override
  public String toString() {
    StringBuilder text =
        new StringBuilder(
            "seed "
                + seed
                + ", "
                + gateways
                + " gateways, "
                + engines
                + " engines, "
                + lengthMs
                + " ms\n");
    faults.forEach(fault -> text.append(fault).append('\n'));
    return text.toString();
  }
}
