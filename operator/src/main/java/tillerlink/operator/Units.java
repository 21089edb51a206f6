package tillerlink.operator;

/** Units: the file has milliseconds and seconds, the code tenths of a millisecond. */
final class Units {
  static final double TENTHS_PER_MS = 10;
  static final double TENTHS_PER_S = 10_000;
  static final double DAY_S = 86_400;

  /** The default of a number that is required. */
  static final double REQUIRED = Double.NaN;

  private Units() {}
}
