package tillerlink.faultinjection.network;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * What happens to one datagram. It follows from the seed, the link and the number of datagrams
 * before it on that link, so that two runs of one seed treat the n-th datagram of a link alike,
 * however fast the machine is.
 *
 * @param delay the delay in tenths of a millisecond
 * @param repeatDelay the delay of its repetition; below 0 if there is none
 */
record DatagramOutcome(boolean lost, long delay, long repeatDelay) {
  static DatagramOutcome of(
      long seed, String from, String to, long ordinal, LinkBehaviour behaviour) {
    long pair = mixed(mixed(seed, from.hashCode()), to.hashCode());
    RandomGenerator chance = new SplittableRandom(mixed(pair, ordinal));
    // All are drawn whether needed or not, so that a further fault leaves the other draws
    // unchanged.
    boolean lost = chance.nextDouble() < behaviour.lost();
    boolean repeated = chance.nextDouble() < behaviour.repeated();
    boolean heldBack = chance.nextDouble() < behaviour.heldBack();
    long delay = delay(chance.nextDouble(), behaviour);
    long repeatDelay =
        delay(chance.nextDouble(), behaviour)
            + (long) (chance.nextDouble() * LinkBehaviour.HELD_BACK);
    long holdTime =
        LinkBehaviour.HELD_BACK + (long) (chance.nextDouble() * LinkBehaviour.HELD_BACK);
    return new DatagramOutcome(
        lost, delay + (heldBack ? holdTime : 0), repeated ? repeatDelay : -1);
  }

  private static long delay(double draw, LinkBehaviour behaviour) {
    return behaviour.least() + (long) (draw * (behaviour.most() - behaviour.least()));
  }

  /** The finalizer of SplitMix64 over two numbers. */
  private static long mixed(long first, long second) {
    long mixed = (first ^ (second * 0x9e3779b97f4a7c15L)) + 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
