package tillerlink.model;

import java.util.ArrayDeque;

/** The requests of one key, in the order in which this gateway accepted them. */
public final class KeyedRequestQueue {
  public final ArrayDeque<Request> requests = new ArrayDeque<>();

  /** Nothing of this key is sent before. */
  public long cooldownUntil = Long.MIN_VALUE;

  /** The first that is not over, or null. */
  public Request firstUnfinished() {
    while (!requests.isEmpty() && requests.peekFirst().isOver()) {
      requests.pollFirst();
    }
    return requests.peekFirst();
  }
}
