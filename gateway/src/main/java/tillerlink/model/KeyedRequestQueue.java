package tillerlink.model;

import java.util.ArrayDeque;

/** The requests of one key, in the order in which this gateway accepted them. */
public final class KeyedRequestQueue {
  /** The requests, first the oldest. */
  public final ArrayDeque<Request> requests = new ArrayDeque<>();

  /** No attempt of this key is sent before; tenths of a millisecond. */
  public long cooldownUntil = Long.MIN_VALUE;

  /** Removes the finished requests at the front, and returns the first of the others, or null. */
  public Request firstUnfinished() {
    while (!requests.isEmpty() && requests.peekFirst().isOver()) {
      requests.pollFirst();
    }
    return requests.peekFirst();
  }
}
