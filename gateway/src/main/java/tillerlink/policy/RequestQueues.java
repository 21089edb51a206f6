package tillerlink.policy;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import tillerlink.model.Request;
import tillerlink.model.RequestClass;

/** Queues of the requests of each request class. Used only by the event loop's thread. */
final class RequestQueues {
  private final List<RequestClass> requestClasses;
  private final List<Request> recentlyQueued = new ArrayList<>();

  RequestQueues(List<RequestClass> requestClasses) {
    this.requestClasses = requestClasses;
  }

  /** Queues a request behind the others of its class, unless it is unattended. */
  void addLast(Request request) {
    if (markQueued(request)) {
      request.requestClass.queue.addLast(request);
    }
  }

  /** Queues a request before the others of its class, unless it is unattended. */
  void addFirst(Request request) {
    if (markQueued(request)) {
      request.requestClass.queue.addFirst(request);
    }
  }

  /**
   * Marks a request as queued, unless no client waits for it at present.
   *
   * @return whether the request is to be queued
   */
  private boolean markQueued(Request request) {
    if (request.unattended) {
      return false;
    }
    request.setQueued(true);
    recentlyQueued.add(request);
    return true;
  }

  /**
   * Removes a request from its queue.
   *
   * @return whether it was queued
   */
  boolean remove(Request request) {
    if (!request.isQueued()) {
      return false;
    }
    request.setQueued(false);
    return request.requestClass.queue.remove(request);
  }

  /** Removes the first request from the queue of a class. */
  void removeFirst(RequestClass requestClass) {
    requestClass.queue.pollFirst().setQueued(false);
  }

  /**
   * Returns the first request of a queue that has used the largest share of its latency objective.
   *
   * @param blocked indices of the request classes to skip
   * @return the request, or null if all queues that are not skipped are empty
   */
  Request next(long now, BitSet blocked) {
    Request nextRequest = null;
    double maxUsedShare = -1;
    for (RequestClass requestClass : requestClasses) {
      Request first = requestClass.firstQueued();
      if (first != null && !blocked.get(requestClass.index)) {
        double usedShare =
            (double) (now - first.arrivedAt) / LoadEstimator.latencyObjective(now, first);
        if (usedShare > maxUsedShare) {
          maxUsedShare = usedShare;
          nextRequest = first;
        }
      }
    }
    return nextRequest;
  }

  /**
   * Returns the requests queued since the last call of {@link #clearRecentlyQueued}. The list is
   * live: it grows if requests are queued while it is read.
   */
  List<Request> recentlyQueued() {
    return recentlyQueued;
  }

  /** Clears the list of recently queued requests. */
  void clearRecentlyQueued() {
    recentlyQueued.clear();
  }
}
