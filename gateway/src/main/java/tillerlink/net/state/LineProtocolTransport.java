package tillerlink.net.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Engine.Status;

/**
 * Carries attempts over the platform's engine lines: connections of which each bears as many as the
 * settings allow.
 */
final class LineProtocolTransport implements EngineTransport {
  private static final int MENDS_MOST = 3;

  final Owner owner;
  final EngineAddress site;
  private final int streams;
  private final List<EngineConnection> links = new ArrayList<>(2);

  LineProtocolTransport(Owner owner, EngineAddress site, int streams) {
    this.owner = owner;
    this.site = site;
    this.streams = streams;
  }

  @Override
  public void send(InFlightAttempt inFlight) {
    EngineConnection link = linkFor(inFlight);
    if (link == null) {
      owner.warnRateLimited("no room for a further engine connection");
      unsent(inFlight, DisconnectReason.NO_ROOM);
    } else {
      link.send(inFlight);
    }
  }

  /**
   * Nothing of an attempt was written, and nothing will be: the module hears of it in the next
   * turn.
   */
  void unsent(InFlightAttempt inFlight, DisconnectReason why) {
    owner.runInNextIteration(() -> owner.attemptEnded(inFlight, why.outcome(false)));
  }

  /**
   * One that bears nothing, else a new one, else the one that bears least. Guards against one
   * spoilt answer, after which a connection can't be read any more, that takes the attempts beside
   * it along.
   */
  private EngineConnection linkFor(InFlightAttempt inFlight) {
    EngineConnection link = roomy(inFlight.id());
    EngineConnection fresh = link == null || link.bears() > 0 ? dial() : null;
    return fresh == null ? link : fresh;
  }

  /** Of the connections with room for one more, the one that bears least, or null. */
  private EngineConnection roomy(String request) {
    EngineConnection best = null;
    for (EngineConnection link : links) {
      if (link.takes(request, streams) && (best == null || link.bears() < best.bears())) {
        best = link;
      }
    }
    return best;
  }

  /** A new connection, or null if there is no room for it. */
  private EngineConnection dial() {
    // Each engine has its part, and one connection at the least: with more engines than
    // connections, those that
    // are in use pass from engine to engine.
    if (links.size() >= Math.max(1, owner.maxConnections() / owner.engineCount())
        || !owner.reserveConnection()) {
      return null;
    }
    EngineConnection link = new EngineConnection(this, owner.now());
    owner.connectionCountChanged(1);
    links.add(link);
    link.dial();
    return link;
  }

  /** Shows whether anybody is there, unless a new connection is about to. */
  void tryAnew() {
    if (links.stream().noneMatch(EngineConnection::dialing)) {
      dial();
    }
  }

  /** One has ended; if it did not come up, others hear of it. */
  void linkEnded(EngineConnection link) {
    links.remove(link);
    owner.connectionCountChanged(-1);
  }

  /** A new connection failed. */
  void nobodyThere() {
    List.copyOf(links).forEach(EngineConnection::nobodyThere);
  }

  /** Whether the engine was seen to be there since then, on any connection. */
  boolean heardSince(long then) {
    return links.stream().anyMatch(link -> link.heardSince(then));
  }

  /**
   * An attempt whose first page is there and whose connection ended: what is missing is asked for
   * on another. The engine keeps pages, so nothing runs again. False if it can't be, or was tried
   * too often.
   */
  boolean mend(InFlightAttempt inFlight) {
    boolean mends =
        inFlight.pages != null
            && inFlight.mended < MENDS_MOST
            && inFlight.attempt.isInFlight()
            && site.engine.status != Status.GONE;
    EngineConnection link = mends ? linkFor(inFlight) : null;
    if (link != null) {
      inFlight.mended++;
      link.send(inFlight);
    }
    return link != null;
  }

  @Override
  public AttemptOutcome abandon(InFlightAttempt inFlight) {
    return inFlight.link == null
        ? DisconnectReason.NO_ROOM.outcome(false)
        : inFlight.link.giveUp(inFlight);
  }

  @Override
  public void release(InFlightAttempt inFlight) {
    if (inFlight.link != null) {
      inFlight.link.release(inFlight);
    }
  }

  @Override
  public void checkTimeouts(long connectMost, long idleMost) {
    List.copyOf(links).forEach(link -> link.sweep(connectMost, idleMost));
  }

  @Override
  public long idleSince() {
    return links.stream().mapToLong(EngineConnection::idleSince).min().orElse(Long.MAX_VALUE);
  }

  @Override
  public void closeIdle() {
    links.stream()
        .min(Comparator.comparing(EngineConnection::idleSince))
        .ifPresent(EngineConnection::retire);
  }

  @Override
  public void retireConnections() {
    List.copyOf(links).forEach(EngineConnection::retire);
  }

  @Override
  public boolean isEmpty() {
    return links.isEmpty();
  }
}
