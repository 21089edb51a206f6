package tillerlink.net.lifecycle;

import java.time.Instant;

/**
 * Unix time in tenths of a millisecond as of the start, carried on evenly: a step of the clock does
 * not show.
 */
public final class WallClock {
  /** One unit of the clock, in nanoseconds. */
  public static final long NANOS_PER_TENTH = 100_000;

  private static final long TENTHS_PER_SECOND = 10_000;

  private final long startNanos = System.nanoTime();
  private final long start;

  public WallClock() {
    Instant unix = Instant.now();
    start = unix.getEpochSecond() * TENTHS_PER_SECOND + unix.getNano() / NANOS_PER_TENTH;
  }

  /** Tenths of a millisecond since 1970; for any thread. */
  public long now() {
    return start + (System.nanoTime() - startNanos) / NANOS_PER_TENTH;
  }
}
