package tillerlink.plain;

/**
 * Conversions between the units of the wire (microseconds, packed bills) and those of the dispatch
 * policy (tenths of a millisecond, megabytes).
 */
public final class Units {
  /** Tenths of a millisecond in one millisecond. */
  public static final int TENTHS_PER_MS = 10;

  private static final long MICROS_PER_TENTH = 100;

  /** A bill has its work, in milliseconds, from this bit on, and its memory, in steps, below. */
  private static final int BILL_WORK_SHIFT = 12;

  private static final int BILL_MEMORY_MASK = (1 << BILL_WORK_SHIFT) - 1;
  private static final int BILL_MEMORY_STEP_MB = 4;

  private Units() {}

  /** A moment in tenths, rounded down, so that it is not taken for a later one. */
  public static long toTenths(long micros) {
    return Math.floorDiv(micros, MICROS_PER_TENTH);
  }

  /** A duration in tenths, rounded up, so that it is not taken for a shorter one. */
  public static long spanToTenths(long micros) {
    return -Math.floorDiv(-micros, MICROS_PER_TENTH);
  }

  /**
   * Microseconds.
   *
   * @throws ArithmeticException if they are more than a long holds
   */
  public static long toMicros(long tenths) {
    return Math.multiplyExact(tenths, MICROS_PER_TENTH);
  }

  /** The work of a bill, in tenths. */
  public static double billedWork(long bill) {
    return (double) (bill >> BILL_WORK_SHIFT) * TENTHS_PER_MS;
  }

  /** The memory of a bill, in megabytes. */
  public static double billedMemory(long bill) {
    return (double) (bill & BILL_MEMORY_MASK) * BILL_MEMORY_STEP_MB;
  }
}
