package tillerlink.operator;

/**
 * Conversion factors between the units of the file, milliseconds and seconds, and those of the
 * code, tenths of a millisecond.
 */
final class Units {
  static final double TENTHS_PER_MS = 10;
  static final double TENTHS_PER_S = 10_000;
  static final double DAY_S = 86_400;

  /** Marks a number as required where a default is expected. */
  static final double REQUIRED = Double.NaN;

  private Units() {}
}
