package tillerlink.channels.entry;

import java.util.random.RandomGenerator;

/**
 * Draws the incarnation of a process that starts. No event of it can have been written before, not
 * even if this disk is an old copy or an empty one: it is beyond what is kept, carries the moment,
 * and has chance in it for when the clock was set back.
 */
public final class Incarnations {
  private static final int CHANCE = 20;

  private Incarnations() {}

  /**
   * @param highest the highest one of this gateway that is kept, 0 for none
   */
  public static long draw(long highest, long wall, RandomGenerator random) {
    long moment = Math.max((highest >> CHANCE) + 1, wall / 10);
    return moment << CHANCE | random.nextInt(1 << CHANCE);
  }
}
