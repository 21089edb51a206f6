package tillerlink.model;

import java.util.PriorityQueue;

/** When each request is to be looked at next; setting an alarm anew replaces the one before. */
public final class RequestTimers {
  private record Timer(long at, long order, Request request) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long made;

  public void set(Request request, long at) {
    request.wakeAt = at;
    timers.add(new Timer(at, made++, request));
  }

  /** The next request that is due and still owed an answer, or null. */
  public Request due(long now) {
    while (!timers.isEmpty() && timers.peek().at <= now) {
      Timer timer = timers.poll();
      Request request = timer.request;
      if (request.wakeAt == timer.at && request.outcome == null) {
        request.wakeAt = Long.MAX_VALUE;
        return request;
      }
    }
    return null;
  }

  public long next() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }
}
