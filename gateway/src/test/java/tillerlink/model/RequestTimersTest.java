package tillerlink.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;

/** Tests of the timers of requests. */
class RequestTimersTest {
  private final RequestTimers timers = new RequestTimers();

  /**
   * Guards the memory of requests that have ended: a timer that was replaced or cancelled no longer
   * refers to its request until the time for which it was set.
   */
  @Test
  void replacedAndCancelledTimersAreRemoved() {
    Request request = request();
    timers.set(request, 500);
    timers.set(request, 90);
    assertEquals(90, timers.nextDueAt());
    timers.cancel(request);
    assertEquals(Long.MAX_VALUE, timers.nextDueAt());
    assertEquals(Long.MAX_VALUE, request.wakeAt());
    assertNull(timers.pollDue(1000));
  }

  /** Timers that expire at the same time are due in the order in which they were set. */
  @Test
  void timersAreDueInTheOrderOfTheirTimes() {
    Request first = request();
    Request second = request();
    Request ended = request();
    timers.set(ended, 10);
    timers.set(first, 20);
    timers.set(second, 20);
    ended.outcome = RequestOutcome.REJECTED;
    assertNull(timers.pollDue(9));
    assertSame(first, timers.pollDue(20));
    assertSame(second, timers.pollDue(20));
    assertNull(timers.pollDue(20));
  }

  private static Request request() {
    return new Request(null, 0, 0, false, 0, 1000, 0, 0, null);
  }
}
