package tillerlink.channels.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import tillerlink.messages.channels.Entry;

/**
 * A hybrid logical clock. It follows the wall clock, never goes back, and each new stamp is greater
 * than every stamp observed before. The fleet's time is the median of the wall clocks reported
 * recently, this machine's included, so that one clock that is off by minutes is outvoted by two
 * that are not.
 *
 * <p>The parameters {@code now} (the gateway's monotonic time) and {@code wall} (its wall clock,
 * since 1970) are tenths of a millisecond.
 */
public final class HybridLogicalClock {
  /** The age beyond which a reported wall clock is ignored: 10 s, in tenths of a millisecond. */
  private static final long MAX_WALL_CLOCK_AGE_TENTHS = 100_000;

  private static final int MAX_GATEWAYS = 1024;
  private static final int TENTHS_PER_MILLI = 10;

  /**
   * A wall clock reported by another gateway.
   *
   * @param heardAt the time of the report, in tenths of a millisecond
   * @param offsetMillis milliseconds by which the wall clock is ahead of {@code now}
   */
  private record WallClock(long heardAt, long offsetMillis) {}

  private final long maxAheadMillis;
  private final TreeMap<String, WallClock> wallClocks = new TreeMap<>();
  private long last;

  /**
   * Creates a clock.
   *
   * @param maxAheadMillis the maximum by which a stamp may be ahead of the fleet's time, in
   *     milliseconds
   */
  public HybridLogicalClock(long maxAheadMillis) {
    this.maxAheadMillis = maxAheadMillis;
  }

  /**
   * Records the wall clock that another gateway reported. Reports of further gateways are ignored
   * while 1024 gateways are recorded.
   *
   * @param now tenths of a millisecond
   * @param gateway the name of the gateway
   * @param wallMillis the gateway's wall clock, in milliseconds since 1970
   */
  public void onWall(long now, String gateway, long wallMillis) {
    if (wallClocks.size() < MAX_GATEWAYS || wallClocks.containsKey(gateway)) {
      wallClocks.put(gateway, new WallClock(now, wallMillis - now / TENTHS_PER_MILLI));
    }
  }

  /** Returns the fleet's time in milliseconds since 1970. */
  public long fleetMillis(long now, long wall) {
    wallClocks.values().removeIf(other -> now - other.heardAt > MAX_WALL_CLOCK_AGE_TENTHS);
    List<Long> offsets = new ArrayList<>();
    offsets.add(wall / TENTHS_PER_MILLI - now / TENTHS_PER_MILLI);
    wallClocks.values().forEach(other -> offsets.add(other.offsetMillis));
    offsets.sort(null);
    return now / TENTHS_PER_MILLI + offsets.get((offsets.size() - 1) / 2);
  }

  /** Returns true if a stamp is further ahead of the fleet's time than allowed. */
  public boolean isTooFarAhead(long now, long wall, long stamp) {
    return stamp >> Entry.COUNTER > fleetMillis(now, wall) + maxAheadMillis;
  }

  /**
   * Returns by how much the next stamp would exceed the allowed lead over the fleet's time.
   *
   * @return milliseconds; zero or less if the next stamp is within the allowed lead
   */
  public long millisTooFarAhead(long now, long wall) {
    return Math.max(wall / TENTHS_PER_MILLI, last >> Entry.COUNTER)
        - fleetMillis(now, wall)
        - maxAheadMillis;
  }

  /**
   * Returns a new stamp. It is greater than all stamps returned or observed before, and not behind
   * the wall clock.
   */
  public long next(long wall) {
    last = Math.max(last + 1, stampAt(wall));
    return last;
  }

  /**
   * Advances the clock to a stamp of another gateway, so that all later stamps of this clock are
   * greater.
   */
  public void observe(long stamp) {
    last = Math.max(last, stamp);
  }

  /**
   * Advances the clock to the wall clock, unless the wall clock is too far ahead of the fleet's
   * time, and returns the last stamp. All later stamps of this clock are greater.
   */
  public long floor(long now, long wall) {
    long local = stampAt(wall);
    if (!isTooFarAhead(now, wall, local)) {
      last = Math.max(last, local);
    }
    return last;
  }

  /** Returns the greatest stamp returned or observed so far; 0 at the start. */
  public long last() {
    return last;
  }

  private static long stampAt(long wall) {
    return (wall / TENTHS_PER_MILLI) << Entry.COUNTER;
  }
}
