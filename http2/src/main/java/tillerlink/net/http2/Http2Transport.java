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
 * Carries attempts to one engine over HTTP/2, as many streams on few connections, within the
 * engine's limit of concurrent streams. An attempt for which no stream is available waits for a
 * bounded time. The outcome of an attempt states only what the end of its stream proves. Owned by
 * the event-loop thread; times are tenths of a millisecond.
 */
public final class Http2Transport implements EngineTransport {
  private static final int MAX_CONNECTIONS = 4;
  private static final int MAX_STREAMS = 256;

  /** How many attempts may wait for a stream, in multiples of the streams on one connection. */
  private static final int WAITING_FACTOR = 2;

  private static final int MAX_RESUMPTIONS = 3;

  final Owner owner;
  final EngineAddress engineAddress;
  private final StreamPool pool;
  private final int maxWaiting;
  private final List<Http2EngineConnection> connections = new ArrayList<>(2);
  private final ArrayDeque<InFlightAttempt> waiting = new ArrayDeque<>();
  private boolean assigning;

  /**
   * Creates a transport without connections.
   *
   * @param maxStreams the most streams on one connection; 0 for the built-in limit, which larger
   *     values do not exceed
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
    assignStreams();
  }

  /** Ends an attempt of which nothing was or will be written. */
  private void endUnsent(InFlightAttempt inFlight, StreamTermination termination) {
    endInNextIteration(inFlight, termination.outcome(false, false));
  }

  void endInNextIteration(InFlightAttempt inFlight, AttemptOutcome outcome) {
    owner.runInNextIteration(() -> owner.attemptEnded(inFlight, outcome));
  }

  /** Sends waiting attempts while streams are available, and opens connections for the others. */
  void assignStreams() {
    if (assigning) {
      return;
    }
    assigning = true;
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
    assigning = false;
  }

  private void dial() {
    Http2EngineConnection connection = new Http2EngineConnection(this, owner.now());
    owner.connectionCountChanged(1);
    connections.add(connection);
    connection.dial();
  }

  /** Opens a connection to find out whether the engine is reachable, unless one is being opened. */
  void dialToCheckEngine() {
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
   * Handles the failure of a new connection: silent connections end, and so do the waiting attempts
   * unless a working connection is left.
   *
   * @param outcome the outcome of waiting attempts whose result had not begun
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
   * Queues an attempt to request the rest of its result on another connection.
   *
   * @return false if no result had begun, the attempt has ended or the limit of resumptions is
   *     reached
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
    assignStreams();
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
    assignStreams();
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
