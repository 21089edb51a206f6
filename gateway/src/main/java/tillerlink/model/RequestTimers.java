package tillerlink.model;

import java.util.PriorityQueue;

/**
 * The timers for the next review of each request, in tenths of a millisecond. A request has at most
 * one timer: setting it again replaces the previous one.
 */
public final class RequestTimers {
  private record Timer(long at, long sequence, Request request) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
  private long nextSequence;

  /**
   * Sets the time of the next review of a request.
   *
   * @param request the request
   * @param at the time of the review, in tenths of a millisecond
   */
  public void set(Request request, long at) {
    request.setWakeAt(at);
    timers.add(new Timer(at, nextSequence++, request));
  }

  /**
   * Removes and returns the next request whose review is due.
   *
   * @param now the current time, in tenths of a millisecond
   * @return a request without an outcome, or null if none is due
   */
  public Request pollDue(long now) {
    while (!timers.isEmpty() && timers.peek().at <= now) {
      Timer timer = timers.poll();
      Request request = timer.request;
      if (request.wakeAt() == timer.at && request.outcome == null) {
        request.setWakeAt(Long.MAX_VALUE);
        return request;
      }
    }
    return null;
  }

  /**
   * Returns the time at which the next timer expires.
   *
   * @return tenths of a millisecond; {@code Long.MAX_VALUE} if there is no timer
   */
  public long nextDueAt() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }
}
