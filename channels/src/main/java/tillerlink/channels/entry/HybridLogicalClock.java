package tillerlink.channels.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import tillerlink.messages.channels.Entry;

/**
 * A hybrid logical clock: it follows the wall clock, never goes back, and is ahead of every stamp
 * that was observed. The fleet's time is the median of the wall clocks heard recently, this
 * machine's included, so that one clock that is off by minutes is outvoted by two that are not.
 *
 * <p>Times {@code now} and {@code wall} are tenths of a millisecond.
 */
public final class HybridLogicalClock {
  /** Wall clocks heard longer ago don't count. */
  private static final long MAX_WALL_AGE = 100_000;

  private static final int MAX_GATEWAYS = 1024;
  private static final int UNITS_PER_MILLI = 10;

  /** When a wall clock was heard, and by how many milliseconds it is ahead of {@code now}. */
  private record Wall(long heardAt, long offsetMillis) {}

  private final long maxAheadMillis;
  private final TreeMap<String, Wall> walls = new TreeMap<>();
  private long last;

  /**
   * Makes a clock.
   *
   * @param maxAheadMillis milliseconds that a stamp may be ahead of the fleet's time
   */
  public HybridLogicalClock(long maxAheadMillis) {
    this.maxAheadMillis = maxAheadMillis;
  }

  /**
   * Takes the wall clock of another gateway.
   *
   * @param wallMillis milliseconds since 1970
   */
  public void onWall(long now, String gateway, long wallMillis) {
    if (walls.size() < MAX_GATEWAYS || walls.containsKey(gateway)) {
      walls.put(gateway, new Wall(now, wallMillis - now / UNITS_PER_MILLI));
    }
  }

  /** Returns the fleet's time, in milliseconds since 1970. */
  public long fleetMillis(long now, long wall) {
    walls.values().removeIf(other -> now - other.heardAt > MAX_WALL_AGE);
    List<Long> offsets = new ArrayList<>();
    offsets.add(wall / UNITS_PER_MILLI - now / UNITS_PER_MILLI);
    walls.values().forEach(other -> offsets.add(other.offsetMillis));
    offsets.sort(null);
    return now / UNITS_PER_MILLI + offsets.get((offsets.size() - 1) / 2);
  }

  /** Whether a stamp is further ahead of the fleet's time than allowed. */
  public boolean isTooFarAhead(long now, long wall, long stamp) {
    return stamp >> Entry.COUNTER > fleetMillis(now, wall) + maxAheadMillis;
  }

  /**
   * Returns the milliseconds by which the next stamp would be too far ahead; zero or less if it
   * would not.
   */
  public long millisTooFarAhead(long now, long wall) {
    return Math.max(wall / UNITS_PER_MILLI, last >> Entry.COUNTER)
        - fleetMillis(now, wall)
        - maxAheadMillis;
  }

  /** Returns a stamp ahead of the wall clock and of all that were observed. */
  public long next(long wall) {
    last = Math.max(last + 1, stampAt(wall));
    return last;
  }

  /** Takes a stamp of another gateway: no later stamp of this clock is at or below it. */
  public void observe(long stamp) {
    last = Math.max(last, stamp);
  }

  /**
   * Returns the last stamp given or observed, advanced to the wall clock unless that is too far
   * ahead; no later stamp of this clock is at or below it.
   */
  public long floor(long now, long wall) {
    long here = stampAt(wall);
    if (!isTooFarAhead(now, wall, here)) {
      last = Math.max(last, here);
    }
    return last;
  }

  /** Returns the last stamp given or observed. */
  public long last() {
    return last;
  }

  private static long stampAt(long wall) {
    return (wall / UNITS_PER_MILLI) << Entry.COUNTER;
  }
}
