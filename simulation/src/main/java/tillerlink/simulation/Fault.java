package tillerlink.simulation;

/**
 * An injected fault of one direction of the link between two simulated hosts.
 *
 * @param cut whether every message is lost
 * @param lossProbability the probability that a copy of a message is lost, from 0 to 1
 * @param duplicateProbability the probability that a message is sent twice, from 0 to 1
 * @param minDelay the shortest time in transit, in tenths of a millisecond
 * @param maxDelay the longest time in transit, in tenths of a millisecond. The time is drawn for
 *     each copy of a message, so messages can overtake each other.
 * @param maxBytes the length of the longest message that the link carries; longer ones are lost
 */
public record Fault(
    boolean cut,
    double lossProbability,
    double duplicateProbability,
    long minDelay,
    long maxDelay,
    int maxBytes) {
  private static final long HEALTHY_MIN_DELAY = 2;
  private static final long HEALTHY_MAX_DELAY = 10;

  /** A healthy link: no message is lost, and each takes 0.2 to 1 ms. */
  public static final Fault NONE =
      new Fault(false, 0, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, Integer.MAX_VALUE);

  /** A link that loses every message. */
  public static final Fault CUT =
      new Fault(true, 0, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, Integer.MAX_VALUE);

  /**
   * Returns the fault of a link that loses messages.
   *
   * @param lossProbability the probability that a message is lost, from 0 to 1
   */
  public static Fault lossy(double lossProbability) {
    return new Fault(
        false, lossProbability, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, Integer.MAX_VALUE);
  }

  /**
   * Returns the fault of a link that loses, duplicates, delays and reorders messages.
   *
   * @param lossProbability the probability that a copy of a message is lost, from 0 to 1
   * @param duplicateProbability the probability that a message is sent twice, from 0 to 1
   * @param maxDelay the longest time in transit, in tenths of a millisecond; the shortest is that
   *     of a healthy link
   */
  public static Fault bad(double lossProbability, double duplicateProbability, long maxDelay) {
    return new Fault(
        false,
        lossProbability,
        duplicateProbability,
        HEALTHY_MIN_DELAY,
        maxDelay,
        Integer.MAX_VALUE);
  }

  /**
   * Returns the fault of a link that loses nothing but is slow.
   *
   * @param minDelay the shortest time in transit, in tenths of a millisecond
   * @param maxDelay the longest time in transit, in tenths of a millisecond
   */
  public static Fault slow(long minDelay, long maxDelay) {
    return new Fault(false, 0, 0, minDelay, maxDelay, Integer.MAX_VALUE);
  }

  /**
   * Returns the fault of a link that carries only small messages.
   *
   * @param maxBytes the length of the longest message that is not lost
   */
  public static Fault small(int maxBytes) {
    return new Fault(false, 0, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, maxBytes);
  }
}
