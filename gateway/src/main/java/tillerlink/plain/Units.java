package tillerlink.plain;

/**
 * Conversions between the units of the wire (microseconds, packed resource usage) and those of the
 * dispatch policy (tenths of a millisecond, megabytes).
 */
public final class Units {
  /** The number of tenths of a millisecond in one millisecond. */
  public static final int TENTHS_PER_MS = 10;

  private static final long MICROS_PER_TENTH = 100;

  /**
   * The lowest bit of the work, in milliseconds, in a packed resource usage. The bits below contain
   * the memory, in units of {@link #USAGE_MEMORY_UNIT_MB}.
   */
  private static final int USAGE_WORK_SHIFT = 12;

  private static final int USAGE_MEMORY_MASK = (1 << USAGE_WORK_SHIFT) - 1;
  private static final int USAGE_MEMORY_UNIT_MB = 4;

  private Units() {}

  /**
   * Converts a point in time to tenths of a millisecond, rounded down so that it never appears
   * later than it is.
   */
  public static long toTenths(long micros) {
    return Math.floorDiv(micros, MICROS_PER_TENTH);
  }

  /**
   * Converts a duration to tenths of a millisecond, rounded up so that it never appears shorter
   * than it is.
   */
  public static long durationToTenths(long micros) {
    return -Math.floorDiv(-micros, MICROS_PER_TENTH);
  }

  /**
   * Converts tenths of a millisecond to microseconds.
   *
   * @throws ArithmeticException if the result overflows a long
   */
  public static long toMicros(long tenths) {
    return Math.multiplyExact(tenths, MICROS_PER_TENTH);
  }

  /** Returns the work in a packed resource usage, in tenths of a millisecond. */
  public static double unpackWork(long packedUsage) {
    return (double) (packedUsage >> USAGE_WORK_SHIFT) * TENTHS_PER_MS;
  }

  /** Returns the memory in a packed resource usage, in megabytes. */
  public static double unpackMemory(long packedUsage) {
    return (double) (packedUsage & USAGE_MEMORY_MASK) * USAGE_MEMORY_UNIT_MB;
  }
}
