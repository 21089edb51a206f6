package tillerlink.faultinjection.fabric;

/**
 * How the way from one process to another behaves. Chances are from 0 to 1, times tenths of a
 * millisecond.
 *
 * @param cut nothing gets through
 * @param lost chance that a datagram is lost
 * @param repeated chance that it comes twice
 * @param heldBack chance that it is held back for {@link #HELD_BACK}, so that later ones overtake
 *     it
 * @param least least time on the way
 * @param most most time on the way
 * @param maxBytes longer datagrams do not get through
 * @param rate bytes a second, 0 for as many as come
 */
public record Fault(
    boolean cut,
    double lost,
    double repeated,
    double heldBack,
    long least,
    long most,
    int maxBytes,
    long rate) {
  /** How long a datagram is held back at the least; at the most it is twice that long. */
  public static final long HELD_BACK = 300;

  public static final Fault NONE = new Fault(false, 0, 0, 0, 0, 0, Integer.MAX_VALUE, 0);
  public static final Fault CUT = new Fault(true, 0, 0, 0, 0, 0, Integer.MAX_VALUE, 0);

  public static Fault lossy(double lost) {
    return new Fault(false, lost, 0, 0, 0, 0, Integer.MAX_VALUE, 0);
  }

  public static Fault late(long least, long most) {
    return new Fault(false, 0, 0, 0, least, most, Integer.MAX_VALUE, 0);
  }

  /** Loses, repeats and reorders. */
  public static Fault bad(double lost, double repeated, double heldBack) {
    return new Fault(false, lost, repeated, heldBack, 0, 0, Integer.MAX_VALUE, 0);
  }

  public static Fault slow(long rate) {
    return new Fault(false, 0, 0, 0, 0, 0, Integer.MAX_VALUE, rate);
  }

  public static Fault small(int maxBytes) {
    return new Fault(false, 0, 0, 0, 0, 0, maxBytes, 0);
  }
}
