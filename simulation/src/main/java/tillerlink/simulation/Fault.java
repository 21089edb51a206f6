package tillerlink.simulation;

/**
 * How one direction of the link between two simulated hosts misbehaves. Probabilities are from 0 to
 * 1, times in tenths of a millisecond.
 *
 * @param cut whether every message is lost
 * @param lossProbability probability that a copy of a message is lost
 * @param duplicateProbability probability that a message is sent twice
 * @param minDelay shortest time in transit
 * @param maxDelay longest time in transit; messages are reordered as the drawn time varies
 * @param maxBytes longer messages are lost
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

  /** A healthy link: no loss, 0.2 to 1 ms in transit. */
  public static final Fault NONE =
      new Fault(false, 0, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, Integer.MAX_VALUE);

  /** A link that carries nothing. */
  public static final Fault CUT =
      new Fault(true, 0, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, Integer.MAX_VALUE);

  /** A link that loses messages. */
  public static Fault lossy(double lossProbability) {
    return new Fault(
        false, lossProbability, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, Integer.MAX_VALUE);
  }

  /** A link that loses, duplicates, delays and reorders messages. */
  public static Fault bad(double lossProbability, double duplicateProbability, long maxDelay) {
    return new Fault(
        false,
        lossProbability,
        duplicateProbability,
        HEALTHY_MIN_DELAY,
        maxDelay,
        Integer.MAX_VALUE);
  }

  /** A link with a long transit time. */
  public static Fault slow(long minDelay, long maxDelay) {
    return new Fault(false, 0, 0, minDelay, maxDelay, Integer.MAX_VALUE);
  }

  /** A link that carries only small messages. */
  public static Fault small(int maxBytes) {
    return new Fault(false, 0, 0, HEALTHY_MIN_DELAY, HEALTHY_MAX_DELAY, maxBytes);
  }
}
