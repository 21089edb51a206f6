package tillerlink.net.state;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests whose client is expected at one connection: it was told their result paths there, or
 * fetches their results there, and has not turned to another connection since. If the connection
 * ends, the clients of all of them have disconnected. Confined to the event-loop thread.
 */
final class AttendedRequests {
  private final ClientConnection connection;
  private final RequestRegistry registry;
  private final Set<PendingResponse> requests = new LinkedHashSet<>();
  private boolean suspended;

  AttendedRequests(ClientConnection connection, RequestRegistry registry) {
    this.connection = connection;
    this.registry = registry;
  }

  /** Adds a request, whose client is no longer expected at any other connection. */
  void add(PendingResponse pending) {
    pending.leaveAttendant();
    pending.attendant = this;
    requests.add(pending);
    registry.onAttended(pending);
  }

  /** Removes a request that is cancelled, delivered, removed or attended by another connection. */
  void remove(PendingResponse pending) {
    requests.remove(pending);
  }

  /**
   * Treats the clients as disconnected while the connection is not read, because a close would not
   * be noticed.
   */
  void suspend() {
    suspended = true;
    requests.forEach(registry::onAttendanceSuspended);
  }

  /** Ends a suspension, because the connection is read again. */
  void resume() {
    if (suspended) {
      suspended = false;
      requests.forEach(registry::onAttended);
    }
  }

  /** Called when the connection has ended. */
  void onConnectionEnded() {
    for (PendingResponse pending : List.copyOf(requests)) {
      pending.leaveAttendant();
      registry.onConnectionLost(pending);
    }
  }

  /** Returns whether input of the client may wait that was not read. */
  boolean mayHaveUnreadInput() {
    return connection.mayHaveUnreadInput();
  }

  /** Returns whether reading from the connection is paused until an answer has been sent. */
  boolean isReadingPaused() {
    return connection.isReadingPaused();
  }

  /** Returns whether a request has neither its answer nor been cancelled. */
  boolean hasUnsettled() {
    return requests.stream().anyMatch(pending -> !pending.isSettled());
  }

  /** Returns whether no answer is to be fetched any more. */
  boolean isEmpty() {
    return requests.isEmpty();
  }
}
