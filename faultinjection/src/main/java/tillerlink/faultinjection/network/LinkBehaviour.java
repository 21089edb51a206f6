package tillerlink.faultinjection.network;

/**
 * The behaviour of a link, with its injected faults. Probabilities are from 0 to 1, delays are in
 * tenths of a millisecond.
 *
 * @param cut whether the link delivers nothing
 * @param lossProbability the probability that a datagram is lost
 * @param repeatProbability the probability that a datagram is delivered twice
 * @param reorderProbability the probability that a datagram is delayed by at least {@link
 *     #MIN_REORDER_DELAY} more, so that later ones overtake it
 * @param minDelay the smallest delay
 * @param maxDelay the greatest delay
 * @param maxBytes the greatest length of a datagram; longer ones are dropped
 * @param rate the rate in bytes per second, or 0 for no limit
 */
public record LinkBehaviour(
    boolean cut,
    double lossProbability,
    double repeatProbability,
    double reorderProbability,
    long minDelay,
    long maxDelay,
    int maxBytes,
    long rate) {
  /**
   * The smallest extra delay of a reordered datagram, in tenths of a millisecond; the greatest is
   * twice that.
   */
  public static final long MIN_REORDER_DELAY = 300;

  /** A link without faults. */
  public static final LinkBehaviour NONE =
      new LinkBehaviour(false, 0, 0, 0, 0, 0, Integer.MAX_VALUE, 0);

  /** A link that delivers nothing. */
  public static final LinkBehaviour CUT =
      new LinkBehaviour(true, 0, 0, 0, 0, 0, Integer.MAX_VALUE, 0);

  /** Returns a behaviour that loses datagrams with a probability. */
  public static LinkBehaviour lossy(double lossProbability) {
    return new LinkBehaviour(false, lossProbability, 0, 0, 0, 0, Integer.MAX_VALUE, 0);
  }

  /** Returns a behaviour that delays datagrams by a random time, in tenths of a millisecond. */
  public static LinkBehaviour late(long minDelay, long maxDelay) {
    return new LinkBehaviour(false, 0, 0, 0, minDelay, maxDelay, Integer.MAX_VALUE, 0);
  }

  /** Returns a behaviour that loses, repeats and reorders datagrams with these probabilities. */
  public static LinkBehaviour bad(
      double lossProbability, double repeatProbability, double reorderProbability) {
    return new LinkBehaviour(
        false, lossProbability, repeatProbability, reorderProbability, 0, 0, Integer.MAX_VALUE, 0);
  }

  /** Returns a behaviour that limits the rate, in bytes per second. */
  public static LinkBehaviour slow(long rate) {
    return new LinkBehaviour(false, 0, 0, 0, 0, 0, Integer.MAX_VALUE, rate);
  }

  /** Returns a behaviour that drops datagrams longer than a number of bytes. */
  public static LinkBehaviour small(int maxBytes) {
    return new LinkBehaviour(false, 0, 0, 0, 0, 0, maxBytes, 0);
  }
}
