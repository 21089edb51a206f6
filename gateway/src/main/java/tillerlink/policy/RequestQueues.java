package tillerlink.policy;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;

/** The queues of the request classes. Used by the event loop alone. */
final class RequestQueues {
  private final List<RequestClass> requestClasses;
  private final List<Request> recentlyQueued = new ArrayList<>();

  RequestQueues(List<RequestClass> requestClasses) {
    this.requestClasses = requestClasses;
  }

  /** Queues a request behind the others of its class. */
  void addLast(Request request) {
    if (markQueued(request)) {
      request.requestClass.queue.addLast(request);
    }
  }

  /** Queues a request before the others of its class. */
  void addFirst(Request request) {
    if (markQueued(request)) {
      request.requestClass.queue.addFirst(request);
    }
  }

  /** A request is not queued while its client is away. */
  private boolean markQueued(Request request) {
    if (request.unattended) {
      return false;
    }
    request.setQueued(true);
    recentlyQueued.add(request);
    return true;
  }

  /** Takes a request out of its queue, and returns whether it was there. */
  boolean remove(Request request) {
    if (!request.requestClass.queue.remove(request)) {
      return false;
    }
    request.setQueued(false);
    return true;
  }

  /** Takes out the first request of a class. */
  void removeFirst(RequestClass requestClass) {
    requestClass.queue.pollFirst().setQueued(false);
  }

  /**
   * Of the first requests of the classes, the one that has used most of its latency objective; or
   * null if there is none.
   *
   * @param blocked indices of the request classes that are left out
   */
  Request next(long now, BitSet blocked) {
    Request next = null;
    double mostUsed = -1;
    for (RequestClass requestClass : requestClasses) {
      Request first = requestClass.firstQueued();
      if (first != null && !blocked.get(requestClass.index)) {
        double used = (double) (now - first.arrivedAt) / LoadEstimator.latencyObjective(now, first);
        if (used > mostUsed) {
          mostUsed = used;
          next = first;
        }
      }
    }
    return next;
  }

  /** What was queued since the last call of {@link #clearRecentlyQueued}; grows as it is read. */
  List<Request> recentlyQueued() {
    return recentlyQueued;
  }

  /** Forgets which requests were queued recently. */
  void clearRecentlyQueued() {
    recentlyQueued.clear();
  }
}
