package tillerlink.plain;

/** Microseconds on the wire, tenths of a millisecond in the module. */
public final class Units {
  private static final long MICROS = 100;
  private static final int COST_SHIFT = 12;
  private static final int MEMORY_STEP_MB = 4;
  public static final int TENTHS_PER_MS = 10;

  private Units() {}

  /** Rounded down, so that no moment is taken for a later one. */
  public static long toTenths(long micros) {
    return Math.floorDiv(micros, MICROS);
  }

  /** Rounded up, so that no stated period is taken for a shorter one. */
  public static long spanToTenths(long micros) {
    return -Math.floorDiv(-micros, MICROS);
  }

  public static long toMicros(long tenths) {
    return Math.multiplyExact(tenths, MICROS);
  }

  public static double billedWork(long bill) {
    return (double) (bill >> COST_SHIFT) * TENTHS_PER_MS;
  }

  public static double billedMemory(long bill) {
    return (double) (bill & ((1 << COST_SHIFT) - 1)) * MEMORY_STEP_MB;
  }
}
