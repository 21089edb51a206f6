package tillerlink.net.lifecycle;

import java.time.Instant;

/**
 * A clock of Unix time in tenths of a millisecond. It reads the system clock once, when it is
 * created, and then advances with the monotonic clock, so that later steps of the system clock do
 * not affect it.
 */
public final class WallClock {
  /** The unit of the clock, a tenth of a millisecond, in nanoseconds. */
  public static final long NANOS_PER_TENTH = 100_000;

  private static final long TENTHS_PER_SECOND = 10_000;

  private final long startNanos = System.nanoTime();
  private final long start;

  public WallClock() {
    Instant unix = Instant.now();
    start = unix.getEpochSecond() * TENTHS_PER_SECOND + unix.getNano() / NANOS_PER_TENTH;
  }

  /**
   * Returns the current time. May be called on any thread.
   *
   * @return tenths of a millisecond since the Unix epoch
   */
  public long now() {
    return start + (System.nanoTime() - startNanos) / NANOS_PER_TENTH;
  }
}
