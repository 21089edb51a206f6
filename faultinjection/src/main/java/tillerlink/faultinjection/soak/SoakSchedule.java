package tillerlink.faultinjection.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** The faults of one run of a soak; all follow from the seed. */
public record SoakSchedule(
    long seed, int gateways, int engines, long lengthMs, List<SoakFault> faults) {
  /** The least time without faults at the start; some bugs show only after it. */
  private static final long MIN_QUIET_MS = 1_000;

  private static final int MIN_ENGINES = 5;
  private static final int ENGINES_SPREAD = 5;

  /** Copies the faults. */
  public SoakSchedule {
    faults = List.copyOf(faults);
  }

  /**
   * The schedule of a seed: it draws which kinds of fault exist, and then overlapping faults of
   * these kinds.
   */
  public static SoakSchedule of(long seed, int gateways, long lengthMs) {
    RandomGenerator chance = new SplittableRandom(seed);
    int engines = MIN_ENGINES + chance.nextInt(ENGINES_SPREAD);
    List<SoakFault.Kind> kinds = new ArrayList<>(List.of(SoakFault.Kind.values()));
    while (kinds.size() > 6 + chance.nextInt(6)) {
      kinds.remove(chance.nextInt(kinds.size()));
    }
    long quiet = MIN_QUIET_MS + chance.nextLong(lengthMs / 4);
    int count = (int) (gateways * lengthMs / 12_000) + 6;
    List<SoakFault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      SoakFault.Kind kind = kinds.get(chance.nextInt(kinds.size()));
      int who = chance.nextInt(kind.target == SoakFault.Target.GATEWAY ? gateways : engines);
      long at = chance.nextLong(quiet, lengthMs);
      faults.add(new SoakFault(at, duration(kind, chance), kind, who, chance.nextDouble()));
    }
    faults.sort(Comparator.comparingLong(SoakFault::atMs));
    return new SoakSchedule(seed, gateways, engines, lengthMs, faults);
  }

  private static long duration(SoakFault.Kind kind, RandomGenerator chance) {
    return switch (kind) {
      case STOPPED ->
          chance.nextBoolean() ? chance.nextLong(200, 3_000) : chance.nextLong(200, 10_000);
      case NAMES_DOWN -> chance.nextLong(500, 10_000);
      case KILLED, TERMINATED -> chance.nextLong(100, 2_000);
      case ENGINE_DRAINS, ENGINE_VANISHES, ENGINE_CRASHES -> chance.nextLong(1_500, 6_000);
      default -> chance.nextLong(300, 5_000);
    };
  }

  /** The same schedule with other faults. */
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
