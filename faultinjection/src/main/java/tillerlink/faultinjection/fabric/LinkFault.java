package tillerlink.faultinjection.fabric;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * What becomes of one datagram. It follows from the seed, the ordered pair and how many went before
 * on that way, so that two plays of one seed treat the n-th datagram of a way alike, however fast
 * the machine is.
 *
 * @param late time on the way, tenths of a millisecond
 * @param again when its repeat follows, counted likewise; below 0 if there is none
 */
record LinkFault(boolean lost, long late, long again) {
  static LinkFault of(long seed, String from, String to, long ordinal, Fault fault) {
    long pair = mixed(mixed(seed, from.hashCode()), to.hashCode());
    RandomGenerator chance = new SplittableRandom(mixed(pair, ordinal));
    // Each is drawn whether or not it is asked for: a fault that is added leaves the other draws as
    // they were.
    boolean lost = chance.nextDouble() < fault.lost();
    boolean repeated = chance.nextDouble() < fault.repeated();
    boolean heldBack = chance.nextDouble() < fault.heldBack();
    long late = onTheWay(chance.nextDouble(), fault);
    long again =
        onTheWay(chance.nextDouble(), fault) + (long) (chance.nextDouble() * Fault.HELD_BACK);
    long held = Fault.HELD_BACK + (long) (chance.nextDouble() * Fault.HELD_BACK);
    return new LinkFault(lost, late + (heldBack ? held : 0), repeated ? again : -1);
  }

  private static long onTheWay(double draw, Fault fault) {
    return fault.least() + (long) (draw * (fault.most() - fault.least()));
  }

  private static long mixed(long a, long b) {
    long z = (a ^ b * 0x9e3779b97f4a7c15L) + 0x9e3779b97f4a7c15L;
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }
}
