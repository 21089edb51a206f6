package tillerlink.net.pool;

import java.util.List;

/**
 * Decides which connection of one engine the next stream goes to, when another is opened, and when
 * one is retired. It does no I/O, has no clock and stores nothing between calls.
 */
public final class StreamPool {
  /** A connection as the pool sees it. */
  public interface Member {
    /** Whether it is connected and the engine's settings were received. */
    boolean isUp();

    /** Whether it is still being connected. */
    boolean isDialing();

    /** Whether it may take further streams: not retired, not silent, not spent. */
    boolean acceptsStreams();

    /** How many streams are open on it. */
    int openStreams();

    /** How many streams the engine allows to be open on it at once. */
    long maxConcurrentStreams();

    /** How many responses were received on it so far. */
    long responses();

    /** When it was dialed. */
    long dialedAt();

    /** When its last stream ended. */
    long idleSince();
  }

  /** What to do for the next stream: use a connection, dial another, or wait. */
  public enum Verdict {
    USE,
    DIAL,
    WAIT
  }

  /** A verdict, with the connection for {@code USE} and null for the others. */
  public record Choice(Verdict verdict, Member member) {}

  private static final Choice DIAL = new Choice(Verdict.DIAL, null);
  private static final Choice WAIT = new Choice(Verdict.WAIT, null);

  /** How many streams a connection takes before its first response: it may lead to no engine. */
  private static final int STREAMS_BEFORE_FIRST_RESPONSE = 32;

  /** How many more it takes for each response. */
  private static final int STREAMS_PER_RESPONSE = 2;

  /** The age at which a connection is retired, so that new ones follow the engine's address. */
  private static final int MAX_AGE_IN_IDLE_TIMEOUTS = 20;

  private final int maxStreams;
  private final int maxConnections;

  /**
   * A pool with the bounds of one engine.
   *
   * @param maxStreams streams on one connection, whatever the engine allows
   * @param maxConnections connections to one engine, whatever the fleet's bound leaves
   */
  public StreamPool(int maxStreams, int maxConnections) {
    this.maxStreams = maxStreams;
    this.maxConnections = maxConnections;
  }

  /** How many streams may be open on a connection now. */
  public long streamQuota(Member member) {
    long responseBasedLimit =
        STREAMS_BEFORE_FIRST_RESPONSE + STREAMS_PER_RESPONSE * member.responses();
    return Math.min(Math.min(maxStreams, member.maxConcurrentStreams()), responseBasedLimit);
  }

  /**
   * Where the next stream goes: to the connection with the fewest open streams of those with
   * capacity; if there is none, over a new one, unless one being opened will have capacity for it.
   * Guards against an engine that lowered its limit to 0: no further connection is opened then, for
   * it would state the same.
   *
   * @param waiting how many attempts wait for a stream already
   * @param quota how many connections this engine may have by the fleet's bound
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
   * How many connections an engine may have: its part of the fleet's bound, at least one while the
   * bound is not reached.
   *
   * @param openConnections how many connections the gateway has to all engines
   * @param ownConnections how many of them lead to this engine
   */
  public static int connectionQuota(
      int maxConnections, int openConnections, int engines, int ownConnections) {
    return openConnections >= maxConnections
        ? ownConnections
        : Math.max(1, maxConnections / Math.max(1, engines));
  }

  /** Whether a connection should be retired: without streams for too long, or too old. */
  public boolean shouldRetire(Member member, long now, long idleTimeout) {
    return (member.openStreams() == 0 && now >= member.idleSince() + idleTimeout)
        || now >= member.dialedAt() + MAX_AGE_IN_IDLE_TIMEOUTS * idleTimeout;
  }
}
