package tillerlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards slow start against a wall clock that was stepped, here or at the engine. Times are tenths
 * of a millisecond.
 */
class StartTimeTest {
  private static final long NOW = 17_000_000_000_000L;
  private static final long HOUR = 36_000_000;
  private static final long SECOND = 10_000;

  @Test
  void possibleReportedStartIsReturnedUnchanged() {
    assertEquals(NOW - SECOND, StartTime.limitToPossible(NOW - SECOND, NOW, NOW - SECOND));
    assertEquals(NOW - HOUR, StartTime.limitToPossible(NOW - HOUR, NOW, Long.MIN_VALUE));
    assertEquals(0, StartTime.limitToPossible(0, NOW, NOW - SECOND));
  }

  /** Otherwise the engine would count as cold, and get no attempts, for an hour. */
  @Test
  void startInTheFutureBecomesNow() {
    assertEquals(NOW, StartTime.limitToPossible(NOW + HOUR, NOW, Long.MIN_VALUE));
    assertEquals(NOW, StartTime.limitToPossible(NOW + HOUR, NOW, NOW - SECOND));
  }

  /** Otherwise an engine that has just started would count as warm, and be overloaded. */
  @Test
  void startLongBeforeTheProcessWasSeenMissingIsLimited() {
    assertEquals(
        NOW - SECOND - DiscoveryLease.ASSUMED_NOTIFIED_AFTER,
        StartTime.limitToPossible(NOW - HOUR, NOW, NOW - SECOND));
  }
}
