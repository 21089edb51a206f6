package tillerlink.channels.entry;

import java.util.random.RandomGenerator;

/**
 * The source of incarnations of starting processes. An incarnation is unique even if the disk is an
 * old copy or empty, because it is higher than the stored one, contains the time, and has random
 * bits in case the machine's clock was set back.
 */
public final class Incarnations {
  private static final int RANDOM_BITS = 20;
  private static final int TENTHS_PER_MILLI = 10;

  private Incarnations() {}

  /**
   * Draws an incarnation for the starting process.
   *
   * @param highest the highest stored incarnation of this gateway, 0 if no incarnation is stored
   * @param wall the wall clock, in tenths of a millisecond since 1970
   * @param random the source of the random bits, from which one number is drawn
   */
  public static long draw(long highest, long wall, RandomGenerator random) {
    long millis = Math.max((highest >> RANDOM_BITS) + 1, wall / TENTHS_PER_MILLI);
    return (millis << RANDOM_BITS) | random.nextInt(1 << RANDOM_BITS);
  }
}
