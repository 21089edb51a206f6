package tillerlink.channels.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import tillerlink.messages.channels.Entry;

/**
 * A hybrid logical clock: follows the wall clock, never goes back, and goes beyond whatever stamp
 * was seen. What the fleet believes the time to be is the median of the walls heard of late, the
 * own one with them; one clock that is off by minutes is so outvoted by two that are not.
 */
public final class HybridLogicalClock {
  private static final long HEARD_FOR = 100_000;
  private static final int GATEWAYS_MOST = 1024;

  private record Heard(long at, long beyond) {}

  private final long aheadMost;
  private final TreeMap<String, Heard> walls = new TreeMap<>();
  private long last;

  /**
   * @param aheadMost milliseconds that a stamp may be ahead of what the fleet believes the time to
   *     be
   */
  public HybridLogicalClock(long aheadMost) {
    this.aheadMost = aheadMost;
  }

  /**
   * A gateway said what its wall clock shows, in milliseconds. Held by the clock that never jumps.
   */
  public void heard(long now, String gateway, long theirs) {
    if (walls.size() < GATEWAYS_MOST || walls.containsKey(gateway)) {
      walls.put(gateway, new Heard(now, theirs - now / 10));
    }
  }

  /** Milliseconds since 1970, as most of those heard of late have it. */
  public long believed(long now, long wall) {
    walls.values().removeIf(heard -> now - heard.at > HEARD_FOR);
    List<Long> beyond = new ArrayList<>();
    beyond.add(wall / 10 - now / 10);
    walls.values().forEach(heard -> beyond.add(heard.beyond));
    beyond.sort(null);
    return now / 10 + beyond.get((beyond.size() - 1) / 2);
  }

  /** Whether a stamp is further ahead than may be. */
  public boolean isTooFarAhead(long now, long wall, long stamp) {
    return stamp >> Entry.COUNTER > believed(now, wall) + aheadMost;
  }

  /**
   * Milliseconds by which the next own stamp would be too far ahead; zero or less if it would not.
   */
  public long tooFarBy(long now, long wall) {
    return Math.max(wall / 10, last >> Entry.COUNTER) - believed(now, wall) - aheadMost;
  }

  /** A stamp beyond the wall and beyond all that were seen. */
  public long next(long wall) {
    last = Math.max(last + 1, wall / 10 << Entry.COUNTER);
    return last;
  }

  /** From now on no own stamp is at or below this one. */
  public void saw(long stamp) {
    last = Math.max(last, stamp);
  }

  /**
   * The last stamp given or seen, brought up to the wall unless that is too far ahead; no later one
   * is at or below it.
   */
  public long floor(long now, long wall) {
    long here = wall / 10 << Entry.COUNTER;
    if (!isTooFarAhead(now, wall, here)) {
      last = Math.max(last, here);
    }
    return last;
  }

  public long last() {
    return last;
  }
}
