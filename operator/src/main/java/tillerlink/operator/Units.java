package tillerlink.operator;

/** What stands in the file in milliseconds and seconds is taken in tenths of a millisecond. */
final class Units {
  static final double TENTHS_PER_MS = 10;
  static final double TENTHS_PER_S = 10_000;
  static final double DAY_S = 86_400;

  /** A number that must stand there. */
  static final double NONE = Double.NaN;

  private Units() {}
}
