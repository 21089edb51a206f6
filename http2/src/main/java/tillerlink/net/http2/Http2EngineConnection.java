package tillerlink.net.http2;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.net.pool.StreamPool;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;
import tillerlink.net.state.InFlightAttempt;
import tillerlink.policy.SendVerdict;

/**
 * One HTTP/2 connection to an engine: attempts are streams on it, worded as docs/http2-wire.md
 * says.
 */
final class Http2EngineConnection implements Channel.Owner, StreamPool.Member {
  private static final int RESULT_MOST = 48_000;
  private static final int FULL_1 = 429;
  private static final int FULL_2 = 503;

  /** An attempt on a stream. */
  private static final class Ride {
    private final InFlightAttempt inFlight;
    private final int stream;

    /**
     * The place of the write that bears the request's last byte; none while that was not written.
     */
    private long place = Long.MAX_VALUE;

    private boolean answered;

    /** When the window was found shut for its body; 0 if it is not. */
    private long shutSince;

    Ride(InFlightAttempt inFlight, int stream) {
      this.inFlight = inFlight;
      this.stream = stream;
    }
  }

  private final Http2Transport transport;
  private final EngineTransport.Owner owner;
  private final EngineAddress site;
  private final Http2ClientConnection connection = new Http2ClientConnection();
  private final Map<Integer, Ride> rides = new LinkedHashMap<>();
  private final Map<InFlightAttempt, Ride> byFlight = new IdentityHashMap<>();

  /** Guarded attempts whose last byte is on its way out, in that order. */
  private final ArrayDeque<Ride> guarded = new ArrayDeque<>(0);

  private final long dialedAt;
  private Channel channel;
  private boolean open;
  private boolean over;
  private boolean retired;

  /** The connection is being ended, with what was written known or not. */
  private boolean closing;

  private boolean exact;
  private boolean silent;
  private long writes;
  private long writesDone;
  private long heardAt;
  private long idleSince;
  private long askedAt;
  private long answered;

  Http2EngineConnection(Http2Transport transport, long now) {
    this.transport = transport;
    owner = transport.owner;
    site = transport.site;
    dialedAt = now;
    heardAt = now;
    idleSince = now;
  }

  void dial() {
    channel = owner.connect(site.address(), this);
  }

  // ---- as the pool sees it ----

  @Override
  public boolean up() {
    return open && connection.settingsSeen();
  }

  @Override
  public boolean dialing() {
    return !open;
  }

  @Override
  public boolean sound() {
    return !over && !retired && !silent && !connection.isSpent();
  }

  @Override
  public int bears() {
    return connection.open();
  }

  @Override
  public long most() {
    return connection.streamsMost();
  }

  @Override
  public long answered() {
    return answered;
  }

  @Override
  public long openedAt() {
    return dialedAt;
  }

  @Override
  public long idleSince() {
    return idleSince;
  }

  // ---- attempts ----

  void send(InFlightAttempt inFlight) {
    SendVerdict verdict = inFlight.begun() ? SendVerdict.ALLOWED : inFlight.mayGo();
    if (verdict != SendVerdict.ALLOWED) {
      owner.attemptWithheld(inFlight, verdict);
      owner.runInNextIteration(
          () -> owner.attemptEnded(inFlight, StreamTermination.WITHDRAWN.outcome(false, false)));
      return;
    }
    List<Header> headers = new ArrayList<>(8);
    byte[] body;
    if (!inFlight.begun()) {
      body = inFlight.statement();
      headers.add(new BasicHeader(":method", "POST"));
      headers.add(new BasicHeader(":scheme", "http"));
      headers.add(new BasicHeader(":authority", "engine"));
      headers.add(new BasicHeader(":path", "/v1/run/" + inFlight.requestClass()));
      headers.add(new BasicHeader("content-type", "application/sql"));
      headers.add(new BasicHeader("content-length", Integer.toString(body.length)));
      headers.add(new BasicHeader("hop-id", inFlight.id()));
      headers.add(new BasicHeader("hop-limit-ms", Long.toString(inFlight.millisLeft(owner.now()))));
      if (inFlight.key() != null) {
        headers.add(new BasicHeader("idempotency-key", inFlight.key()));
      }
    } else {
      body = new byte[0];
      headers.add(new BasicHeader(":method", "GET"));
      headers.add(new BasicHeader(":scheme", "http"));
      headers.add(new BasicHeader(":authority", "engine"));
      headers.add(new BasicHeader(":path", "/v1/results/" + inFlight.id()));
      headers.add(new BasicHeader("range", "bytes=" + inFlight.answerSize() + "-"));
    }
    int stream;
    try {
      stream = connection.open(headers, body);
    } catch (IllegalArgumentException e) {
      owner.warnRateLimited("engine " + site.id + " takes no header lists that long");
      owner.runInNextIteration(
          () ->
              owner.attemptEnded(
                  inFlight, StreamTermination.NO_ROOM.outcome(false, inFlight.begun())));
      return;
    }
    Ride ride = new Ride(inFlight, stream);
    rides.put(stream, ride);
    byFlight.put(inFlight, ride);
    flush();
  }

  boolean bears(InFlightAttempt inFlight) {
    return ride(inFlight) != null;
  }

  private Ride ride(InFlightAttempt inFlight) {
    return byFlight.get(inFlight);
  }

  /**
   * Whether a request may have come whole to the engine. What the engine says of a stream comes
   * after we heard that it was written, and so does the connection's own end. Where we end the
   * connection that is not so: what was handed over may be on its way though nobody said so yet.
   */
  private boolean whole(Ride ride) {
    return closing && !exact ? ride.place != Long.MAX_VALUE : ride.place <= writesDone;
  }

  /**
   * Gives an attempt up; a request of which a part was written may come whole while the reset is on
   * its way.
   */
  AttemptOutcome giveUp(InFlightAttempt inFlight) {
    Ride ride = ride(inFlight);
    connection.cancel(ride.stream, ErrorCode.CANCEL);
    boolean sent = ride.place != Long.MAX_VALUE;
    drop(ride);
    flush();
    return StreamTermination.CANCELLED.outcome(sent || inFlight.begun(), inFlight.begun());
  }

  /** An attempt is over, by whatever ended it. */
  void release(InFlightAttempt inFlight) {
    Ride ride = ride(inFlight);
    connection.cancel(ride.stream, ErrorCode.CANCEL);
    drop(ride);
    flush();
  }

  private void forget(Ride ride) {
    rides.remove(ride.stream);
    byFlight.remove(ride.inFlight, ride);
  }

  private void drop(Ride ride) {
    forget(ride);
    idleSince = owner.now();
    if (rides.isEmpty() && (retired || connection.isSpent())) {
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  /** What is said before the connection is up waits in the machine. */
  private void flush() {
    byte[] bytes = open && !over ? connection.take() : new byte[0];
    if (bytes.length > 0) {
      channel.write(bytes);
      writes++;
      for (int stream : connection.sentWhole()) {
        Ride ride = rides.get(stream);
        if (ride != null) {
          ride.place = writes;
          if (ride.inFlight.guarded()) {
            guarded.add(ride);
          }
        }
      }
    }
  }

  // ---- the channel ----

  @Override
  public void onOpened() {
    if (over) {
      return;
    }
    open = true;
    heardAt = owner.now();
    flush();
  }

  @Override
  public void onWritten() {
    writesDone++;
    while (!guarded.isEmpty() && guarded.peek().place <= writesDone) {
      owner.attemptWritten(guarded.poll().inFlight);
    }
  }

  @Override
  public void onBytes(byte[] bytes) {
    if (over) {
      return;
    }
    heardAt = owner.now();
    askedAt = 0;
    silent = false;
    connection.feed(bytes);
    for (Event event = connection.next(); event != null && !over; event = connection.next()) {
      take(event);
    }
    flush();
    if (!over) {
      transport.serve();
    }
  }

  @Override
  public void onClosed(DisconnectReason how) {
    exact = true;
    end(StreamTermination.CUT, how);
  }

  private void take(Event event) {
    if (event instanceof Event.Interim note) {
      noted(rides.get(note.stream()), note.headers());
    } else if (event instanceof Event.Answer answer) {
      answer(rides.get(answer.stream()), answer);
    } else if (event instanceof Event.Body body) {
      body(rides.get(body.stream()), body);
    } else if (event instanceof Event.Ended ended) {
      onClosed(rides.get(ended.stream()), ended.how());
    } else if (event instanceof Event.Broken broken) {
      owner.warnRateLimited("engine " + site.id + " broke HTTP/2: " + broken.why());
      flush();
      end(StreamTermination.GARBLED, DisconnectReason.GARBLED);
    } else if (event instanceof Event.Leaving && rides.isEmpty()) {
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  private void onClosed(Ride ride, StreamTermination how) {
    if (ride != null) {
      finish(ride, how);
    }
  }

  private void noted(Ride ride, List<Header> headers) {
    AttemptProgress note = null;
    double level = 0;
    for (Header header : headers) {
      switch (header.getName()) {
        case "note-about" -> note = about(header.getValue());
        case "note-level" -> level = amount(header.getValue());
        default -> {}
      }
    }
    if (ride != null && note != null && !Double.isNaN(level)) {
      owner.attemptProgressed(ride.inFlight, note, level);
    }
  }

  private static AttemptProgress about(String text) {
    return switch (text) {
      case "share-done" -> AttemptProgress.PROGRESS;
      case "megabytes-missing" -> AttemptProgress.SPILLS;
      case "parked" -> AttemptProgress.WAITS;
      default -> null;
    };
  }

  private static double amount(String text) {
    return text.matches("[0-9]{1,9}([.][0-9]{1,9})?") ? Double.parseDouble(text) : Double.NaN;
  }

  private void answer(Ride ride, Event.Answer answer) {
    if (ride == null) {
      return;
    }
    boolean ran =
        answer.headers().stream()
            .noneMatch(
                header -> header.getName().equals("hop-ran") && header.getValue().equals("no"));
    boolean first = !ride.inFlight.begun();
    if (first && answer.status() == 200) {
      ride.answered = true;
      ride.inFlight.answerBegins();
    } else if (!first && answer.status() == 206) {
      ride.answered = true;
    } else if (!first) {
      finish(ride, StreamTermination.GARBLED);
      return;
    } else {
      boolean full = answer.status() == FULL_1 || answer.status() == FULL_2;
      finish(
          ride,
          ran
              ? StreamTermination.ANSWERED_ERROR
              : full ? StreamTermination.ANSWERED_FULL : StreamTermination.ANSWERED_STALE);
      return;
    }
    if (answer.last()) {
      complete(ride);
    }
  }

  private void body(Ride ride, Event.Body body) {
    if (ride == null || !ride.answered) {
      return;
    }
    if (ride.inFlight.answerSize() + body.bytes().length > RESULT_MOST) {
      owner.warnRateLimited("engine " + site.id + " sent a result too long");
      finish(ride, StreamTermination.GARBLED);
      return;
    }
    ride.inFlight.answerGrows(body.bytes());
    owner.retainedBytesChanged(body.bytes().length);
    if (body.last()) {
      complete(ride);
    }
  }

  private void complete(Ride ride) {
    answered++;
    forget(ride);
    idleSince = owner.now();
    boolean sound = ride.inFlight.completeAnswer();
    owner.attemptEnded(
        ride.inFlight,
        (sound ? StreamTermination.ANSWERED : StreamTermination.GARBLED).outcome(true, true));
    closeIfSpent();
  }

  /**
   * A stream is over and its attempt with it, unless the rest of its result can be had on another
   * connection.
   */
  private void finish(Ride ride, StreamTermination how) {
    connection.cancel(ride.stream, ErrorCode.CANCEL);
    forget(ride);
    idleSince = owner.now();
    boolean begun = ride.inFlight.begun();
    if (how == StreamTermination.ANSWERED_ERROR || how == StreamTermination.ANSWERED_FULL) {
      answered++;
    }
    if (!(begun && how.mayBeMended() && transport.mend(ride.inFlight))) {
      owner.attemptEnded(ride.inFlight, how.outcome(whole(ride), begun));
    }
    closeIfSpent();
  }

  private void closeIfSpent() {
    if (!over && rides.isEmpty() && (retired || connection.isSpent())) {
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  // ---- time ----

  boolean heardSince(long then) {
    return open && heardAt >= then;
  }

  /**
   * Takes no new attempts. One that is still coming up leads to whoever is at its address by then:
   * it ends.
   */
  void retire() {
    if (over) {
      return;
    }
    retired = true;
    if (rides.isEmpty() || !open) {
      connection.goAway();
      flush();
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Guards against a machine that vanished: a connection with attempts on which nothing is heard is
   * pinged. If that is not answered within a connect time-out in all, it takes no more attempts and
   * a new connection is tried; if that fails as well nobody is there, if it works this one alone is
   * dead. Guards also against a window that stays shut while the path works, which is no slow
   * engine; and the drain, while a request is not wholly sent.
   */
  void sweep(long connectMost) {
    long now = owner.now();
    if (over) {
      return;
    }
    if (!up() && now >= dialedAt + connectMost) {
      end(StreamTermination.CUT, DisconnectReason.NEVER_UP);
      return;
    }
    for (Ride ride : List.copyOf(rides.values())) {
      boolean held = !whole(ride) && !ride.inFlight.begun() && !site.ready();
      if (held && ride.place == Long.MAX_VALUE) {
        finish(ride, StreamTermination.WITHDRAWN);
      } else if (held && now >= ride.inFlight.attempt.sentAt + owner.maxWriteDelay()) {
        // What went out of it is known once the connection has ended.
        retired = true;
        channel.abort();
        return;
      } else if (!connection.isWhole(ride.stream)) {
        ride.shutSince = ride.shutSince == 0 ? now : ride.shutSince;
        if (now >= ride.shutSince + connectMost) {
          owner.warnRateLimited("engine " + site.id + " keeps its window shut");
          finish(ride, StreamTermination.WINDOW_SHUT);
        }
      }
    }
    flush();
    if (over) {
      return;
    }
    if (askedAt == 0 && !rides.isEmpty() && now >= heardAt + connectMost / 2) {
      askedAt = now;
      connection.ping();
      flush();
    } else if (askedAt > 0 && !silent && now >= askedAt + connectMost / 2) {
      silent = true;
    }
    if (!silent) {
      return;
    }
    if (!transport.heardSince(askedAt)) {
      transport.tryAnew();
    } else if (now >= askedAt + connectMost) {
      end(StreamTermination.MUTE, DisconnectReason.MUTE);
    }
  }

  /**
   * A new connection to its engine failed: if this one does not say that it works, its attempts end
   * in doubt.
   */
  void nobodyThere() {
    if (over) {
      return;
    }
    if (silent) {
      owner.warnRateLimited(
          "engine " + site.id + " is silent, " + rides.size() + " hops end in doubt");
      end(StreamTermination.SILENT, DisconnectReason.SILENT);
    } else if (rides.isEmpty()) {
      retire();
    }
  }

  /** The connection is over; each attempt on it ends as that means for it. */
  private void end(StreamTermination how, DisconnectReason connectionEnd) {
    if (over) {
      return;
    }
    over = true;
    closing = true;
    transport.linkEnded(this);
    if (connectionEnd == DisconnectReason.CLOSED_BY_US
        || connectionEnd == DisconnectReason.GARBLED) {
      channel.close();
    } else {
      channel.abort();
    }
    for (Ride ride : List.copyOf(rides.values())) {
      finish(ride, how);
    }
    if (connectionEnd == DisconnectReason.REFUSED || connectionEnd == DisconnectReason.NEVER_UP) {
      transport.nobodyThere(connectionEnd.outcome(false));
    }
    transport.serve();
  }
}
