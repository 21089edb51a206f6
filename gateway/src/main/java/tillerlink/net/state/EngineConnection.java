package tillerlink.net.state;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.net.wire.EngineCommand;
import tillerlink.net.wire.EngineResponse;
import tillerlink.net.wire.EngineResponseParser;
import tillerlink.plain.Units;
import tillerlink.policy.SendVerdict;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/** A connection to an engine, which bears many hops. */
final class EngineConnection implements Channel.Owner {
  /** Hops that ended here lately: an answer to one of these crossed our word and is no fault. */
  private static final int ENDED_KEPT = 64;

  private static final int PAGES_MOST = 64;
  private static final int RESULT_MOST = 48_000;
  private static final String TAG = "0";

  private final LineProtocolTransport carrier;
  private final EngineAddress site;
  private final EngineTransport.Owner gateway;
  private final long dialedAt;
  private final EngineResponseParser reader = new EngineResponseParser();
  private final Map<String, InFlightAttempt> flights = new LinkedHashMap<>();
  private final Set<String> ended = new LinkedHashSet<>();

  /**
   * A hop on its way out.
   *
   * @param place its place among the writes here
   * @param before when its first byte is to be out by
   * @param limit how long the engine is told that the client waits
   */
  private record GoingOut(InFlightAttempt flight, long place, long before, long limit) {}

  /** Hops that are on their way out, in that order. */
  private final ArrayDeque<GoingOut> goingOut = new ArrayDeque<>(1);

  private Channel pipe;
  private boolean open;
  private boolean over;
  private long writes;
  private long writesDone;

  /** Takes no new hops; ends once those on it have. */
  private boolean retired;

  /** Closed because it held back what must not go out any more. */
  private boolean dropped;

  /** The last place among the writes of what was given up before all of it had gone out. */
  private long givenUp;

  private long heardAt;

  /** When a hop was last sent over it. */
  private long sentAt;

  /** Quiet for so long after both, it is asked whether it works. */
  private long askAfter;

  private long idleSince;

  /** When it was asked whether it works and has not said anything since; 0 if it was not. */
  private long askedAt;

  /** It did not say that it works. */
  private boolean silent;

  /** Since when half an answer waits for the rest; 0 if none does. */
  private long midwaySince;

  EngineConnection(LineProtocolTransport carrier, long now) {
    this.carrier = carrier;
    gateway = carrier.owner;
    site = carrier.site;
    dialedAt = now;
    heardAt = now;
    idleSince = now;
  }

  void dial() {
    pipe = gateway.connect(site.address(), this);
  }

  boolean takes(String id, int most) {
    return !retired
        && !silent
        && !over
        && flights.size() < most
        && !flights.containsKey(id)
        && !ended.contains(id);
  }

  /**
   * Takes no new hops. One that is still coming up would send to whoever is at its address by then:
   * it ends.
   */
  void retire() {
    retired = true;
    if (flights.isEmpty() || !open) {
      end(DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Ends what did not come up or lies idle, sooner than the engine would: a hop must not meet its
   * close. Guards also against a machine that vanished, behind which connections stay open and
   * silent: one with hops on which nothing is heard is asked whether it works. If it does not say
   * so, within one connect time-out in all, it takes no more hops and a new connection is tried; if
   * that fails as well, nobody is there, and the hops end in doubt. If another connection to that
   * engine works, this one alone is dead: its hops are over and their answers lost. The same holds
   * for half an answer whose rest does not come. What still waits to go out to an engine that
   * drains, or was given up, is never sent. It should hold against any cut; it may hurt where a
   * network loses everything for half a second.
   */
  void sweep(long connectMost, long idleMost) {
    long now = gateway.now();
    if (over) {
      return;
    }
    if (!open && now >= dialedAt + connectMost) {
      end(DisconnectReason.NEVER_UP);
    } else if (flights.isEmpty() && now >= idleSince + idleMost) {
      retire();
    } else if (open
        && askedAt == 0
        && !flights.isEmpty()
        && now >= Math.max(heardAt, sentAt) + Math.max(askAfter, connectMost / 2)) {
      // What has said once that it works is asked half as often until the next hop: all gateways
      // ask all engines.
      askAfter = connectMost;
      askedAt = now;
      write(EngineCommand.there(TAG));
    } else if (midwaySince > 0 && now >= midwaySince + connectMost) {
      end(DisconnectReason.GARBLED);
    } else if (!dropped
        && (givenUp > writesDone || !site.ready() && holdsBack(now - gateway.maxWriteDelay()))) {
      // What went out of it is known once the connection has ended.
      dropped = true;
      retired = true;
      pipe.abort();
    } else if (askedAt > 0 && !silent && now >= askedAt + connectMost / 2) {
      silent = true;
    }
    if (!silent || over) {
      return;
    }
    if (!carrier.heardSince(askedAt)) {
      carrier.tryAnew();
    } else if (now >= askedAt + connectMost) {
      end(DisconnectReason.MUTE);
    }
  }

  /**
   * A new connection to its engine failed: if this one does not say that it works, its hops end in
   * doubt.
   */
  void nobodyThere() {
    if (silent) {
      gateway.warnRateLimited(
          "engine " + site.id + " is silent, " + flights.size() + " hops end in doubt");
      end(DisconnectReason.SILENT);
    } else if (flights.isEmpty()) {
      retire();
    }
  }

  /** How many hops it bears. */
  int bears() {
    return flights.size();
  }

  /** Since when it bears nothing; {@link Long#MAX_VALUE} if it bears something or is coming up. */
  long idleSince() {
    return open && flights.isEmpty() ? idleSince : Long.MAX_VALUE;
  }

  /** Whether it is still coming up. */
  boolean dialing() {
    return !open;
  }

  /** Whether it came up, or the engine said something on it, since then. */
  boolean heardSince(long then) {
    return open && heardAt >= then;
  }

  void send(InFlightAttempt flight) {
    flight.link = this;
    flights.put(flight.id(), flight);
    sentAt = gateway.now();
    askAfter = 0;
    if (open) {
      start(flight);
    }
  }

  /**
   * Asks for its result, or for what it lacks of it. Guards the drain: a hop that waited for the
   * connection to come up is not sent to an engine that was said to drain meanwhile, for that may
   * be past the grace. Pages are no new work.
   */
  private void start(InFlightAttempt flight) {
    if (flight.pages != null) {
      turnPages(flight);
      return;
    }
    SendVerdict verdict = flight.mayGo();
    if (verdict == SendVerdict.ALLOWED) {
      want(flight);
    } else {
      gateway.attemptWithheld(flight, verdict);
      carrier.unsent(flight, DisconnectReason.WITHDRAWN);
    }
  }

  /** Whether part of a hop has waited longer than that to go out to a peer that does not read. */
  private boolean holdsBack(long since) {
    return flights.values().stream()
        .anyMatch(
            flight ->
                flight.pages == null
                    && flight.place != InFlightAttempt.UNSENT
                    && flight.place > writesDone
                    && flight.hop.sentAt <= since);
  }

  private void want(InFlightAttempt flight) {
    long millisLeft = flight.millisLeft(gateway.now());
    long before = gateway.writeDeadline(flight);
    pipe.writeUntil(
        EngineCommand.want(
            flight.id(), flight.track(), millisLeft, flight.key(), flight.statement()),
        before);
    flight.place = ++writes;
    goingOut.add(new GoingOut(flight, writes, before, millisLeft * Units.TENTHS_PER_MS));
  }

  private long write(byte[] bytes) {
    pipe.write(bytes);
    return ++writes;
  }

  /** Gives a hop up; what that proves. */
  AttemptOutcome giveUp(InFlightAttempt flight) {
    boolean sent = flight.place != InFlightAttempt.UNSENT;
    if (sent && !over) {
      givenUp = flight.pages == null && flight.place > writesDone ? flight.place : givenUp;
      write(EngineCommand.neverMind(flight.id()));
    }
    return DisconnectReason.CLOSED_BY_US.outcome(sent);
  }

  /** A hop is over: nothing more of it is expected here. */
  void release(InFlightAttempt flight) {
    if (flights.remove(flight.id(), flight)) {
      ended.add(flight.id());
      if (ended.size() > ENDED_KEPT) {
        ended.remove(ended.iterator().next());
      }
    }
    idleSince = gateway.now();
    if (retired && flights.isEmpty()) {
      end(DisconnectReason.CLOSED_BY_US);
    }
  }

  @Override
  public void onOpened() {
    if (over) {
      return;
    }
    open = true;
    heardAt = gateway.now();
    flights.values().forEach(this::start);
  }

  @Override
  public void onWritten() {
    onWritten(gateway.now());
  }

  @Override
  public void onWritten(long firstByteAt) {
    GoingOut out = nextWriteDone();
    if (out != null) {
      gateway.attemptSent(out.flight, firstByteAt, out.before, out.limit);
      if (out.flight.guarded()) {
        gateway.attemptWritten(out.flight);
      }
    }
  }

  /** Nothing of the hop has gone out, though it was handed over: it surely never ran. */
  @Override
  public void onWithheld() {
    GoingOut out = nextWriteDone();
    out.flight.place = InFlightAttempt.UNSENT;
    gateway.attemptWithheld(out.flight, SendVerdict.WRITE_DELAYED);
    if (out.flight.hop.isOut()) {
      gateway.attemptEnded(out.flight, DisconnectReason.WITHDRAWN.outcome(false));
    }
  }

  /** Counts a write that is done; the hop that it was, or null. */
  private GoingOut nextWriteDone() {
    writesDone++;
    boolean hop = !goingOut.isEmpty() && goingOut.peek().place <= writesDone;
    return hop ? goingOut.poll() : null;
  }

  @Override
  public void onBytes(byte[] bytes) {
    if (over) {
      return;
    }
    heardAt = gateway.now();
    askedAt = 0;
    silent = false;
    try {
      reader.feed(bytes);
      for (EngineResponse answer = reader.next(); answer != null && !over; answer = reader.next()) {
        take(answer);
      }
      midwaySince = !reader.midway() ? 0 : midwaySince == 0 ? heardAt : midwaySince;
    } catch (IllegalArgumentException e) {
      gateway.warnRateLimited("engine " + site.id + " said what can't be read: " + e.getMessage());
      end(DisconnectReason.GARBLED);
    }
  }

  /**
   * Guards the hops beside it against an answer that belongs to none here, or that comes twice: its
   * framing is sound, so it is passed over and the connection goes on.
   */
  private void take(EngineResponse answer) {
    InFlightAttempt flight = flights.get(answer.id());
    if (flight == null) {
      if (answer.word() != EngineResponse.Word.YES && !ended.contains(answer.id())) {
        gateway.warnRateLimited("engine " + site.id + " answered what was not asked");
      }
      return;
    }
    switch (answer.word()) {
      case OK -> begin(flight, answer);
      case BATCH -> {
        if (flight.lacks(answer.number())) {
          flight.take(answer.number(), answer.body());
          keep(flight, answer);
        }
      }
      case REFUSED -> gateway.attemptEnded(flight, AttemptOutcome.FULL);
      // A page that the engine no longer has says nothing against what it runs.
      case ERROR ->
          gateway.attemptEnded(
              flight, flight.pages == null ? AttemptOutcome.ERRED : AttemptOutcome.SPOILT);
      case STALE -> gateway.attemptEnded(flight, AttemptOutcome.NEVER_SENT);
      case PROGRESS -> {
        if (answer.about() != null) {
          gateway.attemptProgressed(flight, note(answer.about()), answer.level());
        }
      }
      default -> throw new IllegalArgumentException("a word that is no answer to a submission");
    }
  }

  private static AttemptProgress note(EngineResponse.About about) {
    return switch (about) {
      case SHARE_DONE -> AttemptProgress.PROGRESS;
      case MEGABYTES_MISSING -> AttemptProgress.SPILLS;
      case PARKED -> AttemptProgress.WAITS;
    };
  }

  /** The first page is there: the others are asked for at once. */
  private void begin(InFlightAttempt flight, EngineResponse answer) {
    if (flight.pages != null) {
      return;
    }
    int pages = Math.max(1, answer.number());
    if (pages > PAGES_MOST) {
      throw new IllegalArgumentException("a result of " + pages + " pages");
    }
    flight.pages = new byte[pages][];
    flight.missing = pages;
    flight.take(0, answer.body());
    turnPages(flight);
    keep(flight, answer);
  }

  private void turnPages(InFlightAttempt flight) {
    for (int page = 1; page < flight.pages.length; page++) {
      if (flight.lacks(page)) {
        write(EngineCommand.turn(flight.id(), page));
      }
    }
  }

  /** A page was taken: counts it, and ends the hop with the last. */
  private void keep(InFlightAttempt flight, EngineResponse answer) {
    gateway.retainedBytesChanged(answer.body().length);
    if (flight.bytes > RESULT_MOST) {
      flight.pages = null;
      throw new IllegalArgumentException("a result too long");
    }
    if (flight.missing == 0) {
      if (flight.pages.length > 1) {
        write(EngineCommand.shut(flight.id()));
      }
      gateway.attemptEnded(flight, AttemptOutcome.FULFILLED);
    }
  }

  /** It went in the middle of an answer: what it bore has run. */
  @Override
  public void onClosed(DisconnectReason how) {
    end(
        dropped ? DisconnectReason.HELD_BACK : reader.midway() ? DisconnectReason.GARBLED : how,
        true);
  }

  /** Ends the connection from here. */
  void end(DisconnectReason how) {
    end(how, false);
  }

  private void countEnd(DisconnectReason how) {
    gateway.telemetry().metrics().add(Counter.ENGINE_CONNECTIONS_ENDED, how);
    if (how != DisconnectReason.CLOSED_BY_US || !flights.isEmpty()) {
      gateway
          .telemetry()
          .log()
          .event(
              gateway.now(),
              Topic.CONNECTION,
              "engine connection ended",
              "engine",
              site.id,
              "how",
              how,
              "attempts",
              flights.size(),
              "up",
              open);
    }
  }

  /**
   * Ends the connection; each hop on it ends as that means for it. Only once the connection has
   * ended by itself is it known what was written: while it is open, a hop that was handed over may
   * be on its way though nobody said so yet.
   */
  private void end(DisconnectReason how, boolean exact) {
    if (over) {
      return;
    }
    over = true;
    countEnd(how);
    carrier.linkEnded(this);
    if (how == DisconnectReason.CLOSED_BY_US) {
      pipe.close();
    } else {
      pipe.abort();
    }
    for (InFlightAttempt flight : List.copyOf(flights.values())) {
      if (how == DisconnectReason.CLOSED_BY_US
          || how == DisconnectReason.SILENT
          || !carrier.mend(flight)) {
        boolean whole = exact ? flight.place <= writesDone : flight.place != InFlightAttempt.UNSENT;
        gateway.attemptEnded(flight, how.outcome(whole || flight.pages != null));
      }
    }
    if (how == DisconnectReason.REFUSED || how == DisconnectReason.NEVER_UP) {
      carrier.nobodyThere();
    }
  }
}
