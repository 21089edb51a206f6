package tillerlink.simulation;

/**
 * How an ordered pair's link behaves. Chances are from 0 to 1, times tenths of a millisecond.
 *
 * @param cut nothing gets through
 * @param lost chance that a message is lost
 * @param repeated chance that it comes twice
 * @param least least time on the way
 * @param most most time on the way; messages overtake each other as it falls
 * @param bytesMost longer messages don't get through
 */
public record Fault(
    boolean cut, double lost, double repeated, long least, long most, int maxBytes) {
  /** A link as it should be: 0.2 to 1 ms. */
  public static final Fault NONE = new Fault(false, 0, 0, 2, 10, Integer.MAX_VALUE);

  public static final Fault CUT = new Fault(true, 0, 0, 2, 10, Integer.MAX_VALUE);

  public static Fault lossy(double lost) {
    return new Fault(false, lost, 0, 2, 10, Integer.MAX_VALUE);
  }

  /** Loses, repeats and reorders, late by up to that long. */
  public static Fault bad(double lost, double repeated, long most) {
    return new Fault(false, lost, repeated, 2, most, Integer.MAX_VALUE);
  }

  public static Fault slow(long least, long most) {
    return new Fault(false, 0, 0, least, most, Integer.MAX_VALUE);
  }

  public static Fault small(int maxBytes) {
    return new Fault(false, 0, 0, 2, 10, maxBytes);
  }
}
