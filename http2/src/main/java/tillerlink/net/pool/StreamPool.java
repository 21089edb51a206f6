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
    boolean up();

    /** Whether it is still being connected. */
    boolean dialing();

    /** Whether it may take further streams: not retired, not silent, not spent. */
    boolean sound();

    /** How many streams are open on it. */
    int bears();

    /** How many streams the engine lets be open on it at once. */
    long most();

    /** How many streams were answered on it so far. */
    long answered();

    /** When it was dialed. */
    long openedAt();

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

  /** Until it has answered once, a connection takes only so many: it may lead to no engine. */
  private static final int STREAMS_BEFORE_FIRST_ANSWER = 32;

  /** Each answer lets it take so many more. */
  private static final int STREAMS_PER_ANSWER = 2;

  /** The age at which a connection is retired, so that new ones follow the engine's address. */
  private static final int MAX_AGE_IN_IDLE_TIMEOUTS = 20;

  private final int streamsMost;
  private final int connectionsMost;

  /**
   * A pool with the bounds of one engine.
   *
   * @param streamsMost streams on one connection, whatever the engine allows
   * @param connectionsMost connections to one engine, whatever the fleet's bound leaves
   */
  public StreamPool(int streamsMost, int connectionsMost) {
    this.streamsMost = streamsMost;
    this.connectionsMost = connectionsMost;
  }

  /** How many streams may be open on a connection now. */
  public long room(Member member) {
    long earned = STREAMS_BEFORE_FIRST_ANSWER + STREAMS_PER_ANSWER * member.answered();
    return Math.min(Math.min(streamsMost, member.most()), earned);
  }

  /**
   * Where the next stream goes: to the connection with the fewest open streams of those with
   * capacity; if there is none, over a new one, unless one that comes up will have capacity for it.
   * Guards against an engine that lowered its limit to 0: no further connection is opened then, for
   * it would state the same.
   *
   * @param waiting how many attempts wait for a stream already
   * @param part how many connections this engine may have by the fleet's bound
   */
  public Choice choose(List<? extends Member> members, int waiting, int part) {
    Member best = leastLoaded(members);
    if (best != null) {
      return new Choice(Verdict.USE, best);
    }
    int coming = 0;
    boolean closed = false;
    int alive = 0;
    for (Member member : members) {
      alive += member.sound() || member.bears() > 0 ? 1 : 0;
      if (isReady(member)) {
        closed |= member.most() == 0;
      } else if (member.sound()) {
        coming += Math.min(streamsMost, STREAMS_BEFORE_FIRST_ANSWER);
      }
    }
    boolean mayDial = alive < Math.min(connectionsMost, part) && !closed;
    return mayDial && waiting >= coming ? DIAL : WAIT;
  }

  private Member leastLoaded(List<? extends Member> members) {
    Member best = null;
    for (Member member : members) {
      if (isReady(member)
          && member.bears() < room(member)
          && (best == null || member.bears() < best.bears())) {
        best = member;
      }
    }
    return best;
  }

  private static boolean isReady(Member member) {
    return member.sound() && !member.dialing() && member.up();
  }

  /**
   * How many connections an engine may have: its part of the fleet's bound, at least one while the
   * bound is not reached.
   *
   * @param links how many connections the gateway has to all engines
   * @param own how many of them lead to this engine
   */
  public static int part(int maxConnections, int links, int engines, int own) {
    return links >= maxConnections ? own : Math.max(1, maxConnections / Math.max(1, engines));
  }

  /** Whether a connection should be retired: without streams for too long, or too old. */
  public boolean over(Member member, long now, long idleMost) {
    return (member.bears() == 0 && now >= member.idleSince() + idleMost)
        || now >= member.openedAt() + MAX_AGE_IN_IDLE_TIMEOUTS * idleMost;
  }
}
