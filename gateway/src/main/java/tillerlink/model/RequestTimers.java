package tillerlink.model;

import java.util.PriorityQueue;

/**
 * When each request is to be reviewed next, in tenths of a millisecond. Setting a timer again
 * replaces the previous one.
 */
public final class RequestTimers {
  private record Timer(long at, long order, Request request) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long timersSet;

  /** Sets the time of the next review of a request. */
  public void set(Request request, long at) {
    request.setWakeAt(at);
    timers.add(new Timer(at, timersSet++, request));
  }

  /** Removes and returns the next request that is due and has not ended, or null. */
  public Request due(long now) {
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

  /** When the next timer expires; later than any time if there is none. */
  public long next() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }
}
