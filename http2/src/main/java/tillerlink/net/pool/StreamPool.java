package tillerlink.net.pool;

import java.util.List;

/**
 * Chooses the connection of an engine for the next stream, and decides when to open another
 * connection and when to retire one. It does no I/O, reads no clock and stores nothing between
 * calls. Times are tenths of a millisecond.
 */
public final class StreamPool {
  /** The pool's view of a connection. */
  public interface Member {
    /** Returns true if it is connected and the engine's settings were received. */
    boolean isUp();

    /** Returns true if it is still being connected. */
    boolean isDialing();

    /**
     * Returns true if it may carry further streams: it is not closed, retired, silent or used up.
     */
    boolean acceptsStreams();

    /** Returns the number of open streams on it. */
    int openStreams();

    /** Returns how many streams the engine allows to be open on it at once. */
    long maxConcurrentStreams();

    /** Returns the number of responses received on it so far. */
    long responses();

    /** Returns the time at which it was dialed. */
    long dialedAt();

    /** Returns the time at which its last stream ended, or it was dialed if it had none. */
    long idleSince();
  }

  /** The action for the next stream: use a connection, dial another, or wait. */
  public enum Verdict {
    USE,
    DIAL,
    WAIT
  }

  /**
   * A verdict and its connection.
   *
   * @param member the connection to use; null unless the verdict is {@code USE}
   */
  public record Choice(Verdict verdict, Member member) {}

  private static final Choice DIAL = new Choice(Verdict.DIAL, null);
  private static final Choice WAIT = new Choice(Verdict.WAIT, null);

  /**
   * Streams allowed on a connection before its first response. It is low because no engine may be
   * behind the connection.
   */
  private static final int STREAMS_BEFORE_FIRST_RESPONSE = 32;

  /** Further streams allowed for each response. */
  private static final int STREAMS_PER_RESPONSE = 2;

  /**
   * The age, in idle time-outs, at which a connection is retired, so that new connections follow a
   * change of the engine's address.
   */
  private static final int MAX_AGE_IN_IDLE_TIMEOUTS = 20;

  private final int maxStreams;
  private final int maxConnections;

  /**
   * Creates a pool with the limits of one engine.
   *
   * @param maxStreams the most streams on one connection, even if the engine allows more
   * @param maxConnections the most connections to one engine, even if the fleet's limit allows more
   */
  public StreamPool(int maxStreams, int maxConnections) {
    this.maxStreams = maxStreams;
    this.maxConnections = maxConnections;
  }

  /** Returns how many streams may be open on a connection now. */
  public long streamQuota(Member member) {
    long responseBasedLimit =
        STREAMS_BEFORE_FIRST_RESPONSE + STREAMS_PER_RESPONSE * member.responses();
    return Math.min(Math.min(maxStreams, member.maxConcurrentStreams()), responseBasedLimit);
  }

  /**
   * Chooses where the next stream goes: to the connection with the fewest open streams among those
   * with capacity. If there is none, a new connection is dialed, unless one that is being opened
   * will have capacity for the stream. Guards against an engine that lowered its stream limit to 0:
   * no further connection is opened then, because it would get the same limit.
   *
   * @param waiting how many attempts already wait for a stream
   * @param quota how many connections this engine may have under the fleet's limit
   */
  public Choice choose(List<? extends Member> members, int waiting, int quota) {
    Member best = leastLoaded(members);
    if (best != null) {
      return new Choice(Verdict.USE, best);
    }
    int expectedCapacity = 0;
    boolean limitIsZero = false;
    int usedConnections = 0;
    for (Member member : members) {
      usedConnections += member.acceptsStreams() || member.openStreams() > 0 ? 1 : 0;
      if (isReady(member)) {
        limitIsZero |= member.maxConcurrentStreams() == 0;
      } else if (member.acceptsStreams()) {
        expectedCapacity += Math.min(maxStreams, STREAMS_BEFORE_FIRST_RESPONSE);
      }
    }
    boolean mayDial = usedConnections < Math.min(maxConnections, quota) && !limitIsZero;
    return mayDial && waiting >= expectedCapacity ? DIAL : WAIT;
  }

  private Member leastLoaded(List<? extends Member> members) {
    Member best = null;
    for (Member member : members) {
      if (isReady(member)
          && member.openStreams() < streamQuota(member)
          && (best == null || member.openStreams() < best.openStreams())) {
        best = member;
      }
    }
    return best;
  }

  private static boolean isReady(Member member) {
    return member.acceptsStreams() && !member.isDialing() && member.isUp();
  }

  /**
   * Returns how many connections an engine may have: its share of the fleet's limit, at least one
   * while the limit is not reached.
   *
   * @param maxConnections the limit of connections from the gateway to all engines
   * @param openConnections how many connections the gateway has to all engines
   * @param ownConnections how many of them lead to this engine
   */
  public static int connectionQuota(
      int maxConnections, int openConnections, int engines, int ownConnections) {
    return openConnections >= maxConnections
        ? ownConnections
        : Math.max(1, maxConnections / Math.max(1, engines));
  }

  /** Returns true if a connection should be retired: it has been idle too long, or is too old. */
  public boolean shouldRetire(Member member, long now, long idleTimeout) {
    return (member.openStreams() == 0 && now >= member.idleSince() + idleTimeout)
        || now >= member.dialedAt() + MAX_AGE_IN_IDLE_TIMEOUTS * idleTimeout;
  }
}
