package tillerlink.faultinjection.network;

/**
 * The behaviour of a link, with its faults. Chances are from 0 to 1, times tenths of a millisecond.
 *
 * @param cut whether nothing gets through
 * @param lost chance that a datagram is lost
 * @param repeated chance that a datagram is delivered twice
 * @param heldBack chance that a datagram is held back by {@link #HELD_BACK} at least, so that later
 *     ones overtake it
 * @param least the least delay
 * @param most the greatest delay
 * @param maxBytes the length of datagrams beyond which they are dropped
 * @param rate bytes per second, or 0 for no limit
 */
public record LinkBehaviour(
    boolean cut,
    double lost,
    double repeated,
    double heldBack,
    long least,
    long most,
    int maxBytes,
    long rate) {
  /** The least time for which a datagram is held back; the greatest is twice that. */
  public static final long HELD_BACK = 300;

  /** No faults. */
  public static final LinkBehaviour NONE =
      new LinkBehaviour(false, 0, 0, 0, 0, 0, Integer.MAX_VALUE, 0);

  /** Nothing gets through. */
  public static final LinkBehaviour CUT =
      new LinkBehaviour(true, 0, 0, 0, 0, 0, Integer.MAX_VALUE, 0);

  /** Loses datagrams. */
  public static LinkBehaviour lossy(double lost) {
    return new LinkBehaviour(false, lost, 0, 0, 0, 0, Integer.MAX_VALUE, 0);
  }

  /** Delays datagrams. */
  public static LinkBehaviour late(long least, long most) {
    return new LinkBehaviour(false, 0, 0, 0, least, most, Integer.MAX_VALUE, 0);
  }

  /** Loses, repeats and reorders datagrams. */
  public static LinkBehaviour bad(double lost, double repeated, double heldBack) {
    return new LinkBehaviour(false, lost, repeated, heldBack, 0, 0, Integer.MAX_VALUE, 0);
  }

  /** Limits the rate. */
  public static LinkBehaviour slow(long rate) {
    return new LinkBehaviour(false, 0, 0, 0, 0, 0, Integer.MAX_VALUE, rate);
  }

  /** Drops long datagrams. */
  public static LinkBehaviour small(int maxBytes) {
    return new LinkBehaviour(false, 0, 0, 0, 0, 0, maxBytes, 0);
  }
}
