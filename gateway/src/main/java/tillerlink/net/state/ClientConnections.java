package tillerlink.net.state;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import tillerlink.plain.Units;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/** The connections of clients, and the bound on their number. Owned by the event-loop thread. */
final class ClientConnections {
  private final GatewayContext context;
  private final int limit;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  ClientConnections(GatewayContext context, int limit) {
    this.context = context;
    this.limit = limit;
  }

  void add(ClientConnection connection) {
    connections.add(connection);
    enforceLimit();
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  /**
   * Guards usual clients against those that connect by hundreds and send nothing, or request once
   * and stay: beyond the bound, what is of least use is closed, the longest idle first, and what
   * was closed here does not linger. If nothing may be closed yet, newcomers wait in the backlog.
   */
  private void enforceLimit() {
    int excess = connections.size() - limit;
    if (excess <= 0) {
      return;
    }
    int closed = (int) connections.stream().filter(ClientConnection::isClosed).count();
    leastUseful(excess, connections.stream().filter(ClientConnection::isClosed))
        .forEach(connection -> connection.abort(ClientDisconnectReason.NO_ROOM));
    leastUseful(excess - closed, connections.stream().filter(connection -> !connection.isClosed()))
        .forEach(connection -> connection.close(ClientDisconnectReason.NO_ROOM));
  }

  /** So many of those that may be closed, those of least use first. */
  private static List<ClientConnection> leastUseful(
      int count, Stream<ClientConnection> candidates) {
    return candidates
        .filter(ClientConnection::mayBeClosed)
        .sorted(
            Comparator.comparing(ClientConnection::use).thenComparing(ClientConnection::quietSince))
        .limit(Math.max(0, count))
        .toList();
  }

  /**
   * A connection has ended.
   *
   * @param pending the last that was submitted or waited for on it, or null
   */
  void onEnded(ClientDisconnectReason how, PendingResponse pending) {
    context.telemetry().metrics().add(Counter.CLIENT_CONNECTIONS_ENDED, how);
    if (pending != null && !pending.settled()) {
      long now = context.now();
      context
          .telemetry()
          .log()
          .event(
              now,
              Topic.CONNECTION,
              "client connection closed with a request pending",
              "id",
              pending.id(),
              "reason",
              how,
              "after_ms",
              (now - pending.request.arrivedAt) / Units.TENTHS_PER_MS);
    }
  }

  void sweep() {
    List.copyOf(connections).forEach(ClientConnection::checkTimeouts);
    enforceLimit();
  }

  /** No further request is accepted: connections close once nothing is owed on them. */
  void onClosing() {
    List.copyOf(connections).forEach(ClientConnection::onClosing);
  }

  int size() {
    return connections.size();
  }

  /** Whether an answer is owed or not yet written on any of them alone. */
  boolean anyBusy() {
    return connections.stream().anyMatch(ClientConnection::busy);
  }
}
