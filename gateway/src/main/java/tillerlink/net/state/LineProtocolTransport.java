package tillerlink.net.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Engine.Status;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/**
 * A transport to one engine over the platform's line protocol. Each of its connections carries as
 * many attempts at once as the settings allow. Confined to the event-loop thread; all times are
 * tenths of a millisecond.
 */
final class LineProtocolTransport implements EngineTransport {
  /** The limit on how often the missing pages of one result are requested on other connections. */
  private static final int MAX_RESUMPTIONS = 3;

  final Owner owner;
  final EngineAddress engineAddress;

  /** The number of attempts that one connection carries at once. */
  private final int maxAttempts;

  private final List<EngineConnection> connections = new ArrayList<>(2);

  LineProtocolTransport(Owner owner, EngineAddress engineAddress, int maxAttempts) {
    this.owner = owner;
    this.engineAddress = engineAddress;
    this.maxAttempts = maxAttempts;
  }

  @Override
  public void send(InFlightAttempt inFlight) {
    EngineConnection connection = connectionFor(inFlight);
    if (connection == null) {
      owner.warnRateLimited("engine connection limit reached");
      endUnsent(inFlight, DisconnectReason.NO_ROOM);
    } else {
      connection.send(inFlight);
    }
  }

  /** Ends an attempt in the next iteration; nothing of it was or will be written. */
  void endUnsent(InFlightAttempt inFlight, DisconnectReason reason) {
    owner.runInNextIteration(() -> owner.attemptEnded(inFlight, reason.outcome(false)));
  }

  /**
   * Returns a connection for an attempt: one that carries no attempts, otherwise a new one,
   * otherwise the one that carries the fewest; null if there is none. Spreading the attempts guards
   * them against an unreadable response, which ends its connection and all attempts on it.
   */
  private EngineConnection connectionFor(InFlightAttempt inFlight) {
    EngineConnection connection = leastLoaded(inFlight.id());
    EngineConnection opened = connection == null || connection.attemptCount() > 0 ? dial() : null;
    return opened == null ? connection : opened;
  }

  /**
   * Returns the connection with the fewest attempts of those that accept one more, or null if none
   * does.
   */
  private EngineConnection leastLoaded(String requestId) {
    EngineConnection best = null;
    for (EngineConnection connection : connections) {
      if (connection.accepts(requestId, maxAttempts)
          && (best == null || connection.attemptCount() < best.attemptCount())) {
        best = connection;
      }
    }
    return best;
  }

  /** Opens a new connection and returns it; returns null at the limit. */
  private EngineConnection dial() {
    // Each engine has an equal share of the connections, but at least one. With more engines than
    // connections, idle connections are closed in favour of other engines.
    if (connections.size() >= Math.max(1, owner.maxConnections() / owner.engineCount())
        || !owner.reserveConnection()) {
      return null;
    }
    EngineConnection connection = new EngineConnection(this, owner.now());
    owner.connectionCountChanged(1);
    connections.add(connection);
    connection.dial();
    return connection;
  }

  /**
   * Opens a connection that shows whether the engine can be reached, unless one is being opened
   * already.
   */
  void openAnother() {
    if (connections.stream().noneMatch(EngineConnection::dialing)) {
      dial();
    }
  }

  /** Removes a connection that has ended; its attempts have not ended yet. */
  void onConnectionEnded(EngineConnection connection, DisconnectReason reason) {
    recordEnd(connection, reason);
    connections.remove(connection);
    owner.connectionCountChanged(-1);
  }

  private void recordEnd(EngineConnection connection, DisconnectReason reason) {
    owner.telemetry().metrics().add(Counter.ENGINE_CONNECTIONS_ENDED, reason);
    if (reason != DisconnectReason.CLOSED_BY_US || connection.attemptCount() > 0) {
      owner
          .telemetry()
          .log()
          .event(
              owner.now(),
              Topic.CONNECTION,
              "engine connection closed",
              "engine",
              connection.engineId(),
              "reason",
              reason,
              "attempts",
              connection.attemptCount(),
              "opened",
              !connection.dialing());
    }
  }

  /** Notifies all connections that a new connection to the engine failed. */
  void onConnectFailed() {
    List.copyOf(connections).forEach(EngineConnection::onEngineUnreachable);
  }

  /** Returns whether the engine was heard on any connection at or after a time. */
  boolean heardSince(long earliest) {
    return connections.stream().anyMatch(connection -> connection.heardSince(earliest));
  }

  /**
   * Requests the missing pages of a result on another connection, after the connection of the
   * attempt ended. The engine stores the pages, so that nothing is executed again.
   *
   * @return false if no page was received, no connection is available, the engine is gone, or the
   *     attempt was resumed too often
   */
  boolean resume(InFlightAttempt inFlight) {
    boolean resumable =
        inFlight.pages != null
            && inFlight.mayResume(MAX_RESUMPTIONS)
            && inFlight.attempt.isInFlight()
            && engineAddress.engine.status != Status.GONE;
    EngineConnection connection = resumable ? connectionFor(inFlight) : null;
    if (connection != null) {
      inFlight.countResumption();
      connection.send(inFlight);
    }
    return connection != null;
  }

  @Override
  public AttemptOutcome abandon(InFlightAttempt inFlight) {
    return inFlight.connection == null
        ? DisconnectReason.NO_ROOM.outcome(false)
        : inFlight.connection.cancel(inFlight);
  }

  @Override
  public void release(InFlightAttempt inFlight) {
    if (inFlight.connection != null) {
      inFlight.connection.release(inFlight);
    }
  }

  @Override
  public void checkTimeouts(long connectTimeout, long idleTimeout) {
    List.copyOf(connections)
        .forEach(connection -> connection.checkTimeouts(connectTimeout, idleTimeout));
  }

  @Override
  public long idleSince() {
    return connections.stream().mapToLong(EngineConnection::idleSince).min().orElse(Long.MAX_VALUE);
  }

  @Override
  public void closeIdle() {
    connections.stream()
        .min(Comparator.comparing(EngineConnection::idleSince))
        .ifPresent(EngineConnection::retire);
  }

  @Override
  public void retireConnections() {
    List.copyOf(connections).forEach(EngineConnection::retire);
  }

  @Override
  public boolean isEmpty() {
    return connections.isEmpty();
  }
}
