package tillerlink.net.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Engine.Status;

/**
 * Carries attempts to one engine by the platform's line protocol: over connections of which each
 * carries as many as the settings allow. Owned by the event-loop thread.
 */
final class LineProtocolTransport implements EngineTransport {
  private static final int MAX_RESUMPTIONS = 3;

  final Owner owner;
  final EngineAddress engineAddress;

  /** Attempts that one connection carries at once. */
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

  /** Nothing of an attempt was written, and nothing will be: it ends in the next iteration. */
  void endUnsent(InFlightAttempt inFlight, DisconnectReason reason) {
    owner.runInNextIteration(() -> owner.attemptEnded(inFlight, reason.outcome(false)));
  }

  /**
   * One that carries nothing, else a new one, else the one that carries least. Guards against one
   * unreadable response, which ends its connection, that takes other attempts along.
   */
  private EngineConnection connectionFor(InFlightAttempt inFlight) {
    EngineConnection connection = leastLoaded(inFlight.id());
    EngineConnection opened = connection == null || connection.attemptCount() > 0 ? dial() : null;
    return opened == null ? connection : opened;
  }

  /** Of the connections that accept one more, the one that carries least, or null. */
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

  /** A new connection, or null at the limit. */
  private EngineConnection dial() {
    // Each engine has its part, and one connection at the least: with more engines than
    // connections, those that
    // are in use pass from engine to engine.
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

  /** Opens a connection to show whether the engine is there, unless one is being opened already. */
  void openAnother() {
    if (connections.stream().noneMatch(EngineConnection::dialing)) {
      dial();
    }
  }

  /** One has ended. */
  void onConnectionEnded(EngineConnection connection) {
    connections.remove(connection);
    owner.connectionCountChanged(-1);
  }

  /** A new connection failed. */
  void onConnectFailed() {
    List.copyOf(connections).forEach(EngineConnection::onEngineUnreachable);
  }

  /** Whether the engine was heard since then, on any connection. */
  boolean heardSince(long then) {
    return connections.stream().anyMatch(connection -> connection.heardSince(then));
  }

  /**
   * An attempt whose first page is there and whose connection ended: what is missing is asked for
   * on another. The engine keeps pages, so nothing runs again. False if it can't be, or was tried
   * too often.
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
