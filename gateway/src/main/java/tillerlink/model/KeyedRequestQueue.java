package tillerlink.model;

import java.util.ArrayDeque;

/** The requests of one ordering key, in the order in which this gateway accepted them. */
public final class KeyedRequestQueue {
  /** The requests, oldest first. */
  public final ArrayDeque<Request> requests = new ArrayDeque<>();

  /** The end of the cooldown: no attempt of this key is sent before; in tenths of a millisecond. */
  public long cooldownUntil = Long.MIN_VALUE;

  /**
   * Removes the finished requests at the head of the queue and returns the new head.
   *
   * @return the first unfinished request, or null if there is none
   */
  public Request firstUnfinished() {
    while (!requests.isEmpty() && requests.peekFirst().isOver()) {
      requests.pollFirst();
    }
    return requests.peekFirst();
  }
}
