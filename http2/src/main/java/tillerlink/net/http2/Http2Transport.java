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
 * streams. An attempt that finds no room waits, for a bounded time; what its ending proves is told
 * to the module as an outcome.
 */
public final class Http2Transport implements EngineTransport {
  private static final int CONNECTIONS_MOST = 4;
  private static final int STREAMS_MOST = 256;

  /** Attempts that wait for room, in times of what one connection bears. */
  private static final int WAITING_TIMES = 2;

  private static final int MENDS_MOST = 3;

  final Owner owner;
  final EngineAddress site;
  private final StreamPool pool;
  private final int waitingMost;
  private final List<Http2EngineConnection> links = new ArrayList<>(2);
  private final ArrayDeque<InFlightAttempt> waiting = new ArrayDeque<>();
  private boolean serving;

  /**
   * @param streamsMost streams on one connection; 0 for a bound of our own
   */
  public Http2Transport(Owner owner, EngineAddress site, int streamsMost) {
    this.owner = owner;
    this.site = site;
    int streams = streamsMost > 0 ? Math.min(streamsMost, STREAMS_MOST) : STREAMS_MOST;
    pool = new StreamPool(streams, CONNECTIONS_MOST);
    waitingMost = WAITING_TIMES * streams;
  }

  @Override
  public void send(InFlightAttempt inFlight) {
    if (waiting.size() >= waitingMost) {
      owner.warnRateLimited("no room for a further stream to engine " + site.id);
      unsent(inFlight, StreamTermination.NO_ROOM);
      return;
    }
    waiting.add(inFlight);
    serve();
  }

  /** Nothing of an attempt was written, and nothing will be. */
  private void unsent(InFlightAttempt inFlight, StreamTermination how) {
    owner.runInNextIteration(() -> owner.attemptEnded(inFlight, how.outcome(false, false)));
  }

  /** Sends what waits, as far as there is room; opens connections for the rest. */
  void serve() {
    if (serving) {
      return;
    }
    serving = true;
    while (!waiting.isEmpty()) {
      if (!site.ready() && !waiting.peek().begun()) {
        unsent(waiting.poll(), StreamTermination.WITHDRAWN);
        continue;
      }
      int part =
          StreamPool.part(
              owner.maxConnections(), owner.openConnections(), owner.engineCount(), links.size());
      StreamPool.Choice choice = pool.choose(links, waiting.size() - 1, part);
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
    Http2EngineConnection link = new Http2EngineConnection(this, owner.now());
    owner.connectionCountChanged(1);
    links.add(link);
    link.dial();
  }

  /** Shows whether anybody is there, unless a new connection is about to. */
  void tryAnew() {
    if (links.stream().noneMatch(Http2EngineConnection::dialing)
        && owner.openConnections() < owner.maxConnections()) {
      dial();
    }
  }

  void linkEnded(Http2EngineConnection link) {
    links.remove(link);
    owner.connectionCountChanged(-1);
  }

  /**
   * A new connection failed: those that do not say that they work end, and what waits has nowhere
   * to go.
   */
  void nobodyThere(AttemptOutcome outcome) {
    List.copyOf(links).forEach(Http2EngineConnection::nobodyThere);
    if (links.stream().noneMatch(link -> link.up() && link.sound())) {
      while (!waiting.isEmpty()) {
        InFlightAttempt inFlight = waiting.poll();
        owner.runInNextIteration(
            () ->
                owner.attemptEnded(
                    inFlight, inFlight.begun() ? AttemptOutcome.RESPONSE_LOST : outcome));
      }
    }
  }

  boolean heardSince(long then) {
    return links.stream().anyMatch(link -> link.heardSince(then));
  }

  /**
   * Asks for what a result lacks on another connection; false if it can't be, or was tried too
   * often.
   */
  boolean mend(InFlightAttempt inFlight) {
    if (!inFlight.begun() || !inFlight.attempt.isInFlight() || !inFlight.mendAgain(MENDS_MOST)) {
      return false;
    }
    waiting.addFirst(inFlight);
    return true;
  }

  @Override
  public AttemptOutcome abandon(InFlightAttempt inFlight) {
    for (Http2EngineConnection link : links) {
      if (link.bears(inFlight)) {
        return link.giveUp(inFlight);
      }
    }
    waiting.remove(inFlight);
    return StreamTermination.CANCELLED.outcome(inFlight.begun(), inFlight.begun());
  }

  @Override
  public void release(InFlightAttempt inFlight) {
    waiting.remove(inFlight);
    for (Http2EngineConnection link : links) {
      if (link.bears(inFlight)) {
        link.release(inFlight);
        break;
      }
    }
    serve();
  }

  @Override
  public void checkTimeouts(long connectMost, long idleMost) {
    long now = owner.now();
    for (Iterator<InFlightAttempt> i = waiting.iterator(); i.hasNext(); ) {
      InFlightAttempt inFlight = i.next();
      if (!inFlight.attempt.isInFlight()) {
        i.remove();
      } else if (now >= inFlight.attempt.sentAt + connectMost && !inFlight.begun()) {
        i.remove();
        unsent(inFlight, StreamTermination.NO_ROOM);
      }
    }
    for (Http2EngineConnection link : List.copyOf(links)) {
      link.sweep(connectMost);
      if (link.up() && pool.over(link, now, idleMost)) {
        link.retire();
      }
    }
    serve();
  }

  @Override
  public void retireConnections() {
    List.copyOf(links).forEach(Http2EngineConnection::retire);
  }

  @Override
  public boolean isEmpty() {
    return links.isEmpty() && waiting.isEmpty();
  }
}
