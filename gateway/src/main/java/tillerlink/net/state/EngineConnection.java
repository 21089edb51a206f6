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

/** A connection to an engine, which bears many attempts. */
final class EngineConnection implements Channel.Owner {
  /**
   * Attempts that ended here lately: an answer to one of these crossed our word and is no fault.
   */
  private static final int ENDED_KEPT = 64;

  private static final int PAGES_MOST = 64;
  private static final int RESULT_MOST = 48_000;
  private static final String TAG = "0";

  private final LineProtocolTransport transport;
  private final EngineAddress site;
  private final EngineTransport.Owner gateway;
  private final long dialedAt;
  private final EngineResponseParser reader = new EngineResponseParser();
  private final Map<String, InFlightAttempt> inFlightAttempts = new LinkedHashMap<>();
  private final Set<String> ended = new LinkedHashSet<>();

  /**
   * An attempt on its way out.
   *
   * @param place its place among the writes here
   * @param before when its first byte is to be out by
   * @param limit how long the engine is told that the client waits
   */
  private record GoingOut(InFlightAttempt inFlight, long place, long before, long limit) {}

  /** Attempts that are on their way out, in that order. */
  private final ArrayDeque<GoingOut> goingOut = new ArrayDeque<>(1);

  private Channel channel;
  private boolean open;
  private boolean over;
  private long writes;
  private long writesDone;

  /** Takes no new attempts; ends once those on it have. */
  private boolean retired;

  /** Closed because it held back what must not go out any more. */
  private boolean dropped;

  /** The last place among the writes of what was given up before all of it had gone out. */
  private long givenUp;

  private long heardAt;

  /** When an attempt was last sent over it. */
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

  EngineConnection(LineProtocolTransport transport, long now) {
    this.transport = transport;
    gateway = transport.owner;
    site = transport.site;
    dialedAt = now;
    heardAt = now;
    idleSince = now;
  }

  void dial() {
    channel = gateway.connect(site.address(), this);
  }

  boolean takes(String id, int most) {
    return !retired
        && !silent
        && !over
        && inFlightAttempts.size() < most
        && !inFlightAttempts.containsKey(id)
        && !ended.contains(id);
  }

  /**
   * Takes no new attempts. One that is still coming up would send to whoever is at its address by
   * then: it ends.
   */
  void retire() {
    retired = true;
    if (inFlightAttempts.isEmpty() || !open) {
      end(DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Ends what did not come up or lies idle, sooner than the engine would: an attempt must not meet
   * its close. Guards also against a machine that vanished, behind which connections stay open and
   * silent: one with attempts on which nothing is heard is asked whether it works. If it does not
   * say so, within one connect time-out in all, it takes no more attempts and a new connection is
   * tried; if that fails as well, nobody is there, and the attempts end in doubt. If another
   * connection to that engine works, this one alone is dead: its attempts are over and their
   * answers lost. The same holds for half an answer whose rest does not come. What still waits to
   * go out to an engine that drains, or was given up, is never sent. It should hold against any
   * cut; it may hurt where a network loses everything for half a second.
   */
  void sweep(long connectMost, long idleMost) {
    long now = gateway.now();
    if (over) {
      return;
    }
    if (!open && now >= dialedAt + connectMost) {
      end(DisconnectReason.NEVER_UP);
    } else if (inFlightAttempts.isEmpty() && now >= idleSince + idleMost) {
      retire();
    } else if (open
        && askedAt == 0
        && !inFlightAttempts.isEmpty()
        && now >= Math.max(heardAt, sentAt) + Math.max(askAfter, connectMost / 2)) {
      // What has said once that it works is asked half as often until the next attempt: all
      // gateways
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
      channel.abort();
    } else if (askedAt > 0 && !silent && now >= askedAt + connectMost / 2) {
      silent = true;
    }
    if (!silent || over) {
      return;
    }
    if (!transport.heardSince(askedAt)) {
      transport.tryAnew();
    } else if (now >= askedAt + connectMost) {
      end(DisconnectReason.MUTE);
    }
  }

  /**
   * A new connection to its engine failed: if this one does not say that it works, its attempts end
   * in doubt.
   */
  void nobodyThere() {
    if (silent) {
      gateway.warnRateLimited(
          "engine " + site.id + " is silent, " + inFlightAttempts.size() + " hops end in doubt");
      end(DisconnectReason.SILENT);
    } else if (inFlightAttempts.isEmpty()) {
      retire();
    }
  }

  /** How many attempts it bears. */
  int bears() {
    return inFlightAttempts.size();
  }

  /** Since when it bears nothing; {@link Long#MAX_VALUE} if it bears something or is coming up. */
  long idleSince() {
    return open && inFlightAttempts.isEmpty() ? idleSince : Long.MAX_VALUE;
  }

  /** Whether it is still coming up. */
  boolean dialing() {
    return !open;
  }

  /** Whether it came up, or the engine said something on it, since then. */
  boolean heardSince(long then) {
    return open && heardAt >= then;
  }

  void send(InFlightAttempt inFlight) {
    inFlight.link = this;
    inFlightAttempts.put(inFlight.id(), inFlight);
    sentAt = gateway.now();
    askAfter = 0;
    if (open) {
      start(inFlight);
    }
  }

  /**
   * Asks for its result, or for what it lacks of it. Guards the drain: an attempt that waited for
   * the connection to come up is not sent to an engine that was said to drain meanwhile, for that
   * may be past the grace. Pages are no new work.
   */
  private void start(InFlightAttempt inFlight) {
    if (inFlight.pages != null) {
      turnPages(inFlight);
      return;
    }
    SendVerdict verdict = inFlight.mayGo();
    if (verdict == SendVerdict.ALLOWED) {
      want(inFlight);
    } else {
      gateway.attemptWithheld(inFlight, verdict);
      transport.unsent(inFlight, DisconnectReason.WITHDRAWN);
    }
  }

  /**
   * Whether part of an attempt has waited longer than that to go out to a peer that does not read.
   */
  private boolean holdsBack(long since) {
    return inFlightAttempts.values().stream()
        .anyMatch(
            inFlight ->
                inFlight.pages == null
                    && inFlight.place != InFlightAttempt.UNSENT
                    && inFlight.place > writesDone
                    && inFlight.attempt.sentAt <= since);
  }

  private void want(InFlightAttempt inFlight) {
    long millisLeft = inFlight.millisLeft(gateway.now());
    long before = gateway.writeDeadline(inFlight);
    channel.writeUntil(
        EngineCommand.want(
            inFlight.id(),
            inFlight.requestClass(),
            millisLeft,
            inFlight.key(),
            inFlight.statement()),
        before);
    inFlight.place = ++writes;
    goingOut.add(new GoingOut(inFlight, writes, before, millisLeft * Units.TENTHS_PER_MS));
  }

  private long write(byte[] bytes) {
    channel.write(bytes);
    return ++writes;
  }

  /** Gives an attempt up; what that proves. */
  AttemptOutcome giveUp(InFlightAttempt inFlight) {
    boolean sent = inFlight.place != InFlightAttempt.UNSENT;
    if (sent && !over) {
      givenUp = inFlight.pages == null && inFlight.place > writesDone ? inFlight.place : givenUp;
      write(EngineCommand.cancel(inFlight.id()));
    }
    return DisconnectReason.CLOSED_BY_US.outcome(sent);
  }

  /** An attempt is over: nothing more of it is expected here. */
  void release(InFlightAttempt inFlight) {
    if (inFlightAttempts.remove(inFlight.id(), inFlight)) {
      ended.add(inFlight.id());
      if (ended.size() > ENDED_KEPT) {
        ended.remove(ended.iterator().next());
      }
    }
    idleSince = gateway.now();
    if (retired && inFlightAttempts.isEmpty()) {
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
    inFlightAttempts.values().forEach(this::start);
  }

  @Override
  public void onWritten() {
    onWritten(gateway.now());
  }

  @Override
  public void onWritten(long firstByteAt) {
    GoingOut out = nextWriteDone();
    if (out != null) {
      gateway.attemptSent(out.inFlight, firstByteAt, out.before, out.limit);
      if (out.inFlight.guarded()) {
        gateway.attemptWritten(out.inFlight);
      }
    }
  }

  /** Nothing of the attempt has gone out, though it was handed over: it surely never ran. */
  @Override
  public void onWithheld() {
    GoingOut out = nextWriteDone();
    out.inFlight.place = InFlightAttempt.UNSENT;
    gateway.attemptWithheld(out.inFlight, SendVerdict.WRITE_DELAYED);
    if (out.inFlight.attempt.isInFlight()) {
      gateway.attemptEnded(out.inFlight, DisconnectReason.WITHDRAWN.outcome(false));
    }
  }

  /** Counts a write that is done; the attempt that it was, or null. */
  private GoingOut nextWriteDone() {
    writesDone++;
    boolean attempt = !goingOut.isEmpty() && goingOut.peek().place <= writesDone;
    return attempt ? goingOut.poll() : null;
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
   * Guards the attempts beside it against an answer that belongs to none here, or that comes twice:
   * its framing is sound, so it is passed over and the connection goes on.
   */
  private void take(EngineResponse answer) {
    InFlightAttempt inFlight = inFlightAttempts.get(answer.id());
    if (inFlight == null) {
      if (answer.word() != EngineResponse.Word.YES && !ended.contains(answer.id())) {
        gateway.warnRateLimited("engine " + site.id + " answered what was not asked");
      }
      return;
    }
    switch (answer.word()) {
      case OK -> begin(inFlight, answer);
      case BATCH -> {
        if (inFlight.lacks(answer.number())) {
          inFlight.take(answer.number(), answer.body());
          keep(inFlight, answer);
        }
      }
      case REFUSED -> gateway.attemptEnded(inFlight, AttemptOutcome.REJECTED);
      // A page that the engine no longer has says nothing against what it runs.
      case ERROR ->
          gateway.attemptEnded(
              inFlight,
              inFlight.pages == null ? AttemptOutcome.FAILED : AttemptOutcome.RESPONSE_LOST);
      case STALE -> gateway.attemptEnded(inFlight, AttemptOutcome.NOT_SENT);
      case PROGRESS -> {
        if (answer.about() != null) {
          gateway.attemptProgressed(inFlight, note(answer.about()), answer.level());
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
  private void begin(InFlightAttempt inFlight, EngineResponse answer) {
    if (inFlight.pages != null) {
      return;
    }
    int pages = Math.max(1, answer.number());
    if (pages > PAGES_MOST) {
      throw new IllegalArgumentException("a result of " + pages + " pages");
    }
    inFlight.pages = new byte[pages][];
    inFlight.missing = pages;
    inFlight.take(0, answer.body());
    turnPages(inFlight);
    keep(inFlight, answer);
  }

  private void turnPages(InFlightAttempt inFlight) {
    for (int page = 1; page < inFlight.pages.length; page++) {
      if (inFlight.lacks(page)) {
        write(EngineCommand.turn(inFlight.id(), page));
      }
    }
  }

  /** A page was taken: counts it, and ends the attempt with the last. */
  private void keep(InFlightAttempt inFlight, EngineResponse answer) {
    gateway.retainedBytesChanged(answer.body().length);
    if (inFlight.bytes > RESULT_MOST) {
      inFlight.pages = null;
      throw new IllegalArgumentException("a result too long");
    }
    if (inFlight.missing == 0) {
      if (inFlight.pages.length > 1) {
        write(EngineCommand.shut(inFlight.id()));
      }
      gateway.attemptEnded(inFlight, AttemptOutcome.SUCCEEDED);
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
    if (how != DisconnectReason.CLOSED_BY_US || !inFlightAttempts.isEmpty()) {
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
              inFlightAttempts.size(),
              "up",
              open);
    }
  }

  /**
   * Ends the connection; each attempt on it ends as that means for it. Only once the connection has
   * ended by itself is it known what was written: while it is open, an attempt that was handed over
   * may be on its way though nobody said so yet.
   */
  private void end(DisconnectReason how, boolean exact) {
    if (over) {
      return;
    }
    over = true;
    countEnd(how);
    transport.linkEnded(this);
    if (how == DisconnectReason.CLOSED_BY_US) {
      channel.close();
    } else {
      channel.abort();
    }
    for (InFlightAttempt inFlight : List.copyOf(inFlightAttempts.values())) {
      if (how == DisconnectReason.CLOSED_BY_US
          || how == DisconnectReason.SILENT
          || !transport.mend(inFlight)) {
        boolean whole =
            exact ? inFlight.place <= writesDone : inFlight.place != InFlightAttempt.UNSENT;
        gateway.attemptEnded(inFlight, how.outcome(whole || inFlight.pages != null));
      }
    }
    if (how == DisconnectReason.REFUSED || how == DisconnectReason.NEVER_UP) {
      transport.nobodyThere();
    }
  }
}
