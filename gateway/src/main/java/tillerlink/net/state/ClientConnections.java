package tillerlink.net.state;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import tillerlink.plain.Units;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/** The open client connections, limited in number. Confined to the event-loop thread. */
final class ClientConnections {
  private final GatewayContext context;
  private final int limit;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /**
   * Creates an empty set of connections.
   *
   * @param limit the number of connections above which connections are evicted
   */
  ClientConnections(GatewayContext context, int limit) {
    this.context = context;
    this.limit = limit;
  }

  /** Adds a connection and evicts others if the limit is exceeded. */
  void add(ClientConnection connection) {
    connections.add(connection);
    enforceLimit();
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  /**
   * Closes connections while their number exceeds the limit. This guards regular clients against
   * clients that open hundreds of connections and send nothing, or send one request and stay
   * connected. The least used connections are closed first and, among those, the ones that have
   * been idle longest. Connections that the gateway has closed already are aborted instead of
   * waiting for the client. While no connection may be evicted, new clients wait in the accept
   * backlog.
   */
  private void enforceLimit() {
    int excess = connections.size() - limit;
    if (excess <= 0) {
      return;
    }
    int closed = (int) connections.stream().filter(ClientConnection::isClosed).count();
    selectForEviction(excess, connections.stream().filter(ClientConnection::isClosed))
        .forEach(connection -> connection.abort(ClientDisconnectReason.NO_ROOM));
    selectForEviction(
            excess - closed, connections.stream().filter(connection -> !connection.isClosed()))
        .forEach(connection -> connection.close(ClientDisconnectReason.NO_ROOM));
  }

  /** Returns whether there are more connections than the limit, so that new clients may wait. */
  boolean isLimitExceeded() {
    return connections.size() > limit;
  }

  /** Returns at most {@code count} of the evictable connections, the least used ones first. */
  private static List<ClientConnection> selectForEviction(
      int count, Stream<ClientConnection> candidates) {
    return candidates
        .filter(ClientConnection::isEvictable)
        .sorted(
            Comparator.comparing(ClientConnection::usage)
                .thenComparing(ClientConnection::lastActivityAt))
        .limit(Math.max(0, count))
        .toList();
  }

  /**
   * Counts a connection that has ended, and logs it if a request was pending on it.
   *
   * @param pending the request last submitted or waited for on the connection, or null
   */
  void onEnded(ClientDisconnectReason reason, PendingResponse pending) {
    context.telemetry().metrics().add(Counter.CLIENT_CONNECTIONS_ENDED, reason);
    if (pending != null && !pending.isSettled()) {
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
              reason,
              "after_ms",
              (now - pending.request.arrivedAt) / Units.TENTHS_PER_MS);
    }
  }

  /** Checks the timeouts of all connections and enforces the limit on their number. */
  void sweep() {
    List.copyOf(connections).forEach(ClientConnection::checkTimeouts);
    enforceLimit();
  }

  /** Starts closing all connections; each one closes after its last pending answer. */
  void onClosing() {
    List.copyOf(connections).forEach(ClientConnection::onClosing);
  }

  int size() {
    return connections.size();
  }

  /**
   * Returns whether any connection still has an answer to send that only the connection knows of,
   * see {@link ClientConnection#hasUnsentAnswer}.
   */
  boolean hasUnsentAnswers() {
    return connections.stream().anyMatch(ClientConnection::hasUnsentAnswer);
  }
}
