package tillerlink.faultinjection.network;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The injected faults of one datagram. They are a function of the seed, the link and the number of
 * earlier datagrams on that link, so that two runs with one seed treat the n-th datagram of a link
 * alike, however fast the machine is.
 *
 * @param lost whether the datagram is dropped
 * @param delay the delay, in tenths of a millisecond
 * @param repeatDelay the delay of the second delivery, in tenths of a millisecond; below 0 if the
 *     datagram is not repeated
 */
record DatagramOutcome(boolean lost, long delay, long repeatDelay) {
  /**
   * Returns the outcome of a datagram.
   *
   * @param ordinal the number of earlier datagrams on the link
   */
  static DatagramOutcome of(
      long seed, String from, String to, long ordinal, LinkBehaviour behaviour) {
    long pair = mix(mix(seed, from.hashCode()), to.hashCode());
    RandomGenerator random = new SplittableRandom(mix(pair, ordinal));
    // All numbers are drawn whether needed or not, so that enabling a fault does not change the
    // outcomes of the others.
    boolean lost = random.nextDouble() < behaviour.lossProbability();
    boolean repeated = random.nextDouble() < behaviour.repeatProbability();
    boolean reordered = random.nextDouble() < behaviour.reorderProbability();
    long delay = delay(random.nextDouble(), behaviour);
    long repeatDelay =
        delay(random.nextDouble(), behaviour)
            + (long) (random.nextDouble() * LinkBehaviour.MIN_REORDER_DELAY);
    long reorderDelay =
        LinkBehaviour.MIN_REORDER_DELAY
            + (long) (random.nextDouble() * LinkBehaviour.MIN_REORDER_DELAY);
    return new DatagramOutcome(
        lost, delay + (reordered ? reorderDelay : 0), repeated ? repeatDelay : -1);
  }

  private static long delay(double draw, LinkBehaviour behaviour) {
    return behaviour.minDelay() + (long) (draw * (behaviour.maxDelay() - behaviour.minDelay()));
  }

  /** Combines two numbers with the finalizer of SplitMix64. */
  private static long mix(long first, long second) {
    long mixed = (first ^ (second * 0x9e3779b97f4a7c15L)) + 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
