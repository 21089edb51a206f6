package tillerlink.net.pool;

import java.util.List;

/**
 * Which connection of one engine the next stream goes to, when another is opened, and when one is
 * given up. It does no I/O and keeps no clock: it is asked with what there is.
 */
public final class StreamPool {
  /** A connection as the pool sees it. */
  public interface Member {
    /** It came up and the engine's settings were heard. */
    boolean up();

    /** It still comes up. */
    boolean dialing();

    /** It takes streams for good: not retired, not silent, not spent. */
    boolean sound();

    int bears();

    /** How many streams the engine lets be open on it. */
    long most();

    /** How many were answered on it so far. */
    long answered();

    long openedAt();

    long idleSince();
  }

  /** What becomes of the next stream. */
  public enum Verdict {
    USE,
    DIAL,
    WAIT
  }

  /** A verdict, and the connection to use with {@code USE}. */
  public record Choice(Verdict verdict, Member member) {}

  private static final Choice DIAL = new Choice(Verdict.DIAL, null);
  private static final Choice WAIT = new Choice(Verdict.WAIT, null);

  /**
   * Until it has answered once, a connection is lent only so many streams: it may lead to nobody
   * who works.
   */
  private static final int BEFORE_ANSWER = 32;

  /** Each answer lets it bear so many more. */
  private static final int PER_ANSWER = 2;

  /**
   * A connection ends after so many times of what it may lie idle, so that new ones follow the
   * engine's address.
   */
  private static final int AGES = 20;

  private final int streamsMost;
  private final int connectionsMost;

  /**
   * @param streamsMost streams on one connection, whatever the engine allows
   * @param connectionsMost connections to one engine, whatever the fleet's bound leaves
   */
  public StreamPool(int streamsMost, int connectionsMost) {
    this.streamsMost = streamsMost;
    this.connectionsMost = connectionsMost;
  }

  /** How many streams a connection may bear now. */
  public long room(Member member) {
    long lent = BEFORE_ANSWER + PER_ANSWER * member.answered();
    return Math.min(Math.min(streamsMost, member.most()), lent);
  }

  /**
   * Where the next stream goes: to the connection that bears least of those with room; if there is
   * none, over a new one, unless one comes up that will have room for it. Guards an engine that
   * lowered its limit to nothing: then no further connection is opened, for it would say the same.
   *
   * @param waiting how many wait already
   * @param part how many connections this engine may have by the fleet's bound
   */
  public Choice choose(List<? extends Member> members, int waiting, int part) {
    Member best = null;
    int coming = 0;
    boolean shut = false;
    int alive = 0;
    for (Member member : members) {
      alive += member.sound() || member.bears() > 0 ? 1 : 0;
      if (!member.sound()) {
        continue;
      }
      if (member.dialing()) {
        coming += Math.min(streamsMost, BEFORE_ANSWER);
      } else if (member.up()) {
        shut |= member.most() == 0;
        if (member.bears() < room(member) && (best == null || member.bears() < best.bears())) {
          best = member;
        }
      } else {
        coming += Math.min(streamsMost, BEFORE_ANSWER);
      }
    }
    if (best != null) {
      return new Choice(Verdict.USE, best);
    }
    boolean may = alive < Math.min(connectionsMost, part) && !shut;
    return may && waiting >= coming ? DIAL : WAIT;
  }

  /**
   * How many connections an engine may have: its part of the fleet's bound, and never none while
   * there is room.
   */
  public static int part(int maxConnections, int links, int engines, int own) {
    return links >= maxConnections ? own : Math.max(1, maxConnections / Math.max(1, engines));
  }

  /** Whether a connection that bears nothing should be given up: idle for long, or old. */
  public boolean over(Member member, long now, long idleMost) {
    return member.bears() == 0 && now >= member.idleSince() + idleMost
        || now >= member.openedAt() + AGES * idleMost;
  }
}
