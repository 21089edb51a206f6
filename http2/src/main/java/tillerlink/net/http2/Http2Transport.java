package tillerlink.net.http2;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import tillerlink.model.AttemptOutcome;
import tillerlink.net.pool.StreamPool;
import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;
import tillerlink.net.state.InFlightAttempt;

/**
 * Carries attempts to one engine over HTTP/2: many on few connections, within the engine's limit of
 * streams. An attempt that finds no stream free waits, for a bounded time; what its ending proves
 * is its outcome. Owned by the event-loop thread.
 */
public final class Http2Transport implements EngineTransport {
  private static final int MAX_CONNECTIONS = 4;
  private static final int MAX_STREAMS = 256;

  /** How many attempts wait for a stream, in multiples of what one connection carries. */
  private static final int WAITING_FACTOR = 2;

  private static final int MAX_RESUMPTIONS = 3;

  final Owner owner;
  final EngineAddress engineAddress;
  private final StreamPool pool;
  private final int maxWaiting;
  private final List<Http2EngineConnection> connections = new ArrayList<>(2);
  private final ArrayDeque<InFlightAttempt> waiting = new ArrayDeque<>();
  private boolean serving;

  /**
   * Creates a transport without connections.
   *
   * @param maxStreams streams on one connection; 0 for the built-in limit
   */
  public Http2Transport(Owner owner, EngineAddress engineAddress, int maxStreams) {
    this.owner = owner;
    this.engineAddress = engineAddress;
    int streams = maxStreams > 0 ? Math.min(maxStreams, MAX_STREAMS) : MAX_STREAMS;
    pool = new StreamPool(streams, MAX_CONNECTIONS);
    maxWaiting = WAITING_FACTOR * streams;
  }

  @Override
  public void send(InFlightAttempt inFlight) {
    if (waiting.size() >= maxWaiting) {
      owner.warnRateLimited("stream limit to engine " + engineAddress.id + " reached");
      endUnsent(inFlight, StreamTermination.NO_ROOM);
      return;
    }
    waiting.add(inFlight);
    serve();
  }

  /** Nothing of an attempt was written, and nothing will be. */
  private void endUnsent(InFlightAttempt inFlight, StreamTermination how) {
    endInNextIteration(inFlight, how.outcome(false, false));
  }

  void endInNextIteration(InFlightAttempt inFlight, AttemptOutcome outcome) {
    owner.runInNextIteration(() -> owner.attemptEnded(inFlight, outcome));
  }

  /** Sends what waits, as far as streams are free; opens connections for the rest. */
  void serve() {
    if (serving) {
      return;
    }
    serving = true;
    while (!waiting.isEmpty()) {
      if (!engineAddress.isReady() && !waiting.peek().resultStarted()) {
        endUnsent(waiting.poll(), StreamTermination.WITHDRAWN);
        continue;
      }
      int quota =
          StreamPool.connectionQuota(
              owner.maxConnections(),
              owner.openConnections(),
              owner.engineCount(),
              connections.size());
      StreamPool.Choice choice = pool.choose(connections, waiting.size() - 1, quota);
      if (choice.verdict() == StreamPool.Verdict.USE) {
        ((Http2EngineConnection) choice.member()).send(waiting.poll());
      } else if (choice.verdict() == StreamPool.Verdict.DIAL) {
        dial();
      } else {
        break;
      }
    }
    serving = false;
  }

  private void dial() {
    Http2EngineConnection connection = new Http2EngineConnection(this, owner.now());
    owner.connectionCountChanged(1);
    connections.add(connection);
    connection.dial();
  }

  /** Opens a connection to show whether the engine is there, unless one is being opened already. */
  void openAnother() {
    if (connections.stream().noneMatch(Http2EngineConnection::isDialing)
        && owner.openConnections() < owner.maxConnections()) {
      dial();
    }
  }

  void onConnectionEnded(Http2EngineConnection connection) {
    connections.remove(connection);
    owner.connectionCountChanged(-1);
  }

  /**
   * A new connection failed: silent ones end, and what waits ends unless one that works is left.
   */
  void onConnectFailed(AttemptOutcome outcome) {
    List.copyOf(connections).forEach(Http2EngineConnection::onEngineUnreachable);
    if (connections.stream()
        .noneMatch(connection -> connection.isUp() && connection.acceptsStreams())) {
      while (!waiting.isEmpty()) {
        InFlightAttempt inFlight = waiting.poll();
        owner.runInNextIteration(
            () ->
                owner.attemptEnded(
                    inFlight, inFlight.resultStarted() ? AttemptOutcome.RESPONSE_LOST : outcome));
      }
    }
  }

  boolean heardSince(long then) {
    return connections.stream().anyMatch(connection -> connection.heardSince(then));
  }

  /**
   * Requests what is missing of a result on another connection; false if that is not possible, or
   * was tried too often.
   */
  boolean resume(InFlightAttempt inFlight) {
    if (!inFlight.resultStarted()
        || !inFlight.attempt.isInFlight()
        || !inFlight.countAndCheckResumption(MAX_RESUMPTIONS)) {
      return false;
    }
    waiting.addFirst(inFlight);
    return true;
  }

  @Override
  public AttemptOutcome abandon(InFlightAttempt inFlight) {
    for (Http2EngineConnection connection : connections) {
      if (connection.carries(inFlight)) {
        return connection.cancel(inFlight);
      }
    }
    waiting.remove(inFlight);
    return StreamTermination.CANCELLED.outcome(inFlight.resultStarted(), inFlight.resultStarted());
  }

  @Override
  public void release(InFlightAttempt inFlight) {
    waiting.remove(inFlight);
    for (Http2EngineConnection connection : connections) {
      if (connection.carries(inFlight)) {
        connection.release(inFlight);
        break;
      }
    }
    serve();
  }

  @Override
  public void checkTimeouts(long connectTimeout, long idleTimeout) {
    long now = owner.now();
    for (Iterator<InFlightAttempt> attempts = waiting.iterator(); attempts.hasNext(); ) {
      InFlightAttempt inFlight = attempts.next();
      if (!inFlight.attempt.isInFlight()) {
        attempts.remove();
      } else if (now >= inFlight.attempt.sentAt + connectTimeout && !inFlight.resultStarted()) {
        attempts.remove();
        endUnsent(inFlight, StreamTermination.NO_ROOM);
      }
    }
    for (Http2EngineConnection connection : List.copyOf(connections)) {
      connection.checkTimeouts(connectTimeout);
      if (connection.isUp() && pool.shouldRetire(connection, now, idleTimeout)) {
        connection.retire();
      }
    }
    serve();
  }

  @Override
  public void retireConnections() {
    List.copyOf(connections).forEach(Http2EngineConnection::retire);
  }

  @Override
  public boolean isEmpty() {
    return connections.isEmpty() && waiting.isEmpty();
  }
}
