package tillerlink.model;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The timers for the next review of each request, in tenths of a millisecond. A request has at most
 * one timer: setting it again replaces the previous one. No request without a timer is referenced.
 */
public final class RequestTimers {
  private final TreeSet<RequestTimer> timers =
      new TreeSet<>(
          Comparator.comparingLong(RequestTimer::at).thenComparingLong(RequestTimer::sequence));
  private long nextSequence;

  /**
   * Sets the time of the next review of a request.
   *
   * @param request the request
   * @param at the time of the review, in tenths of a millisecond
   */
  public void set(Request request, long at) {
    cancel(request);
    RequestTimer timer = new RequestTimer(at, nextSequence++, request);
    request.setTimer(timer);
    timers.add(timer);
  }

  /** Removes the timer of a request, if it has one. */
  public void cancel(Request request) {
    if (request.timer() != null) {
      timers.remove(request.timer());
      request.setTimer(null);
    }
  }

  /**
   * Removes and returns the next request whose review is due.
   *
   * @param now the current time, in tenths of a millisecond
   * @return a request without an outcome, or null if none is due
   */
  public Request pollDue(long now) {
    while (!timers.isEmpty() && timers.first().at() <= now) {
      Request request = timers.first().request();
      cancel(request);
      if (request.outcome == null) {
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
    return timers.isEmpty() ? Long.MAX_VALUE : timers.first().at();
  }
}
