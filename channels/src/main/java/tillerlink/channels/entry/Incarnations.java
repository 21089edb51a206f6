package tillerlink.channels.entry;

import java.util.random.RandomGenerator;

/**
 * Draws the incarnation of a process that starts. No other process ever has the same, not even if
 * this disk is an old copy or empty: it is higher than the stored one, contains the time, and has
 * random bits in case the machine's clock was set back.
 */
public final class Incarnations {
  private static final int RANDOM_BITS = 20;
  private static final int UNITS_PER_MILLI = 10;

  private Incarnations() {}

  /**
   * Draws an incarnation; takes one draw of {@code random}.
   *
   * @param highest the highest incarnation of this gateway that is stored, 0 for none
   * @param wall tenths of a millisecond since 1970
   */
  public static long draw(long highest, long wall, RandomGenerator random) {
    long millis = Math.max((highest >> RANDOM_BITS) + 1, wall / UNITS_PER_MILLI);
    return (millis << RANDOM_BITS) | random.nextInt(1 << RANDOM_BITS);
  }
}
