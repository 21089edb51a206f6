package tillerlink.net.state;

import tillerlink.model.AttemptOutcome;
import tillerlink.net.wire.EngineCommand;
import tillerlink.net.wire.EngineResponse;
import tillerlink.net.wire.EngineResponseParser;
import tillerlink.plain.Units;
import tillerlink.port.SendVerdict;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/**
 * A connection to an engine by the platform's line protocol, which carries many attempts. Owned by
 * the event-loop thread.
 */
final class EngineConnection implements Channel.Owner {
  private static final String PROBE_ID = "0";

  private final LineProtocolTransport transport;
  private final EngineAddress engineAddress;
  private final EngineTransport.Owner owner;
  private final EngineResponseParser parser = new EngineResponseParser();
  private final EngineResponseHandler responses;
  private final AttemptWrites writes = new AttemptWrites();
  private final ConnectionLiveness liveness;
  private final CarriedAttempts attempts = new CarriedAttempts();
  private Channel channel;
  private boolean closed;

  /** Takes no new attempts; closes once those on it have ended. */
  private boolean retired;

  /** Aborted because it held back what must not be written any more. */
  private boolean aborted;

  /** Since when half a response waits for the rest; 0 if none does. */
  private long partialSince;

  EngineConnection(LineProtocolTransport transport, long now) {
    this.transport = transport;
    owner = transport.owner;
    engineAddress = transport.engineAddress;
    responses = new EngineResponseHandler(this, owner);
    liveness = new ConnectionLiveness(now, true);
  }

  void dial() {
    channel = owner.connect(engineAddress.socketAddress(), this);
  }

  // ---- attempts ----

  String engineId() {
    return engineAddress.id;
  }

  /** Whether it can carry one more attempt, of that id. */
  boolean accepts(String id, int maxAttempts) {
    return !retired
        && !liveness.isSilent()
        && !closed
        && attempts.size() < maxAttempts
        && !attempts.knows(id);
  }

  /** How many attempts it carries. */
  int attemptCount() {
    return attempts.size();
  }

  /** The attempt of that id, or null if it carries none. */
  InFlightAttempt attempt(String id) {
    return attempts.get(id);
  }

  boolean recentlyEnded(String id) {
    return attempts.recentlyEnded(id);
  }

  void send(InFlightAttempt inFlight) {
    inFlight.connection = this;
    attempts.add(inFlight);
    liveness.onAttemptSent(owner.now());
    if (liveness.isOpen()) {
      start(inFlight);
    }
  }

  /**
   * Requests its result, or what is missing of it. Guards the drain: an attempt that waited for the
   * connection to open is not sent to an engine that began to drain meanwhile, for that may be past
   * the grace. Pages are no new work.
   */
  private void start(InFlightAttempt inFlight) {
    if (inFlight.pages != null) {
      responses.requestMissingPages(inFlight);
      return;
    }
    SendVerdict verdict = inFlight.checkWrite();
    if (verdict == SendVerdict.ALLOWED) {
      want(inFlight);
    } else {
      owner.attemptBlocked(inFlight, verdict);
      transport.endUnsent(inFlight, DisconnectReason.WITHDRAWN);
    }
  }

  private void want(InFlightAttempt inFlight) {
    long millisLeft = inFlight.millisLeft(owner.now());
    long before = owner.writeDeadline(inFlight);
    channel.writeUntil(
        EngineCommand.want(
            inFlight.id(),
            inFlight.requestClass(),
            millisLeft,
            inFlight.key(),
            inFlight.statement()),
        before);
    writes.onAttemptWrite(inFlight, before, millisLeft * Units.TENTHS_PER_MS);
  }

  /** Writes a command that is no attempt. */
  void write(byte[] bytes) {
    channel.write(bytes);
    writes.onWrite();
  }

  /** Cancels an attempt; what that proves about its execution. */
  AttemptOutcome cancel(InFlightAttempt inFlight) {
    boolean sent = inFlight.handedOver();
    if (sent && !closed) {
      writes.onCancelled(inFlight);
      write(EngineCommand.cancel(inFlight.id()));
    }
    return DisconnectReason.CLOSED_BY_US.outcome(sent);
  }

  /** An attempt has ended: nothing more of it is expected here. */
  void release(InFlightAttempt inFlight) {
    attempts.remove(inFlight);
    liveness.onAttemptEnded(owner.now());
    if (retired && attempts.isEmpty()) {
      end(DisconnectReason.CLOSED_BY_US);
    }
  }

  // ---- events of the channel ----

  @Override
  public void onOpened() {
    if (closed) {
      return;
    }
    liveness.onOpened(owner.now());
    attempts.all().forEach(this::start);
  }

  @Override
  public void onWritten() {
    onWritten(owner.now());
  }

  @Override
  public void onWritten(long firstByteAt) {
    AttemptWrites.OutgoingAttempt written = writes.completeNext();
    if (written != null) {
      InFlightAttempt inFlight = written.inFlight();
      owner.attemptSent(inFlight, firstByteAt, written.before(), written.limit());
      if (inFlight.fenced()) {
        owner.attemptWritten(inFlight);
      }
    }
  }

  /** Nothing of the attempt was written, though it was handed over: it surely was not executed. */
  @Override
  public void onWriteExpired() {
    InFlightAttempt inFlight = writes.completeNext().inFlight();
    inFlight.writeNumber = InFlightAttempt.UNSENT;
    owner.attemptBlocked(inFlight, SendVerdict.WRITE_DELAYED);
    if (inFlight.attempt.isInFlight()) {
      owner.attemptEnded(inFlight, DisconnectReason.WITHDRAWN.outcome(false));
    }
  }

  @Override
  public void onBytes(byte[] bytes) {
    if (closed) {
      return;
    }
    long now = owner.now();
    liveness.onHeard(now);
    try {
      parser.feed(bytes);
      for (EngineResponse response = parser.next();
          response != null && !closed;
          response = parser.next()) {
        responses.handle(response);
      }
      partialSince = !parser.midway() ? 0 : partialSince == 0 ? now : partialSince;
    } catch (IllegalArgumentException e) {
      owner.warnRateLimited(
          "unreadable response from engine " + engineId() + ": " + e.getMessage());
      end(DisconnectReason.GARBLED);
    }
  }

  /** If it closed in the middle of a response, the attempts on it were executed. */
  @Override
  public void onClosed(DisconnectReason how) {
    end(
        aborted ? DisconnectReason.HELD_BACK : parser.midway() ? DisconnectReason.GARBLED : how,
        true);
  }

  // ---- time ----

  /** Whether it is still being opened. */
  boolean dialing() {
    return !liveness.isOpen();
  }

  /** Whether it opened, or the engine was heard on it, since then. */
  boolean heardSince(long then) {
    return liveness.heardSince(then);
  }

  /** Since when it is idle; {@link Long#MAX_VALUE} if it carries attempts or is being opened. */
  long idleSince() {
    return liveness.isOpen() && attempts.isEmpty() ? liveness.idleSince() : Long.MAX_VALUE;
  }

  /**
   * Takes no new attempts. One that is still being opened would send to whoever is at its address
   * by then: it closes.
   */
  void retire() {
    retired = true;
    if (attempts.isEmpty() || !liveness.isOpen()) {
      end(DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Closes a connection that did not open, or that is idle, sooner than the engine would: an
   * attempt must not meet its close. Guards also against a machine that vanished ({@link
   * ConnectionLiveness}): if no new connection opens either, nobody is there and the attempts end
   * with their outcome unknown; if another connection to that engine works, this one alone is dead:
   * its attempts were executed and their responses are lost. The same holds for half a response
   * whose rest does not come. An attempt that still waits to be written to a draining engine, or
   * was cancelled, is never sent.
   */
  void checkTimeouts(long connectTimeout, long idleTimeout) {
    if (closed) {
      return;
    }
    long now = owner.now();
    if (!checkUse(now, connectTimeout, idleTimeout) && !checkInput(now, connectTimeout)) {
      if (!aborted && holdsObsoleteWrite(now)) {
        // What was written is known once the connection has closed.
        aborted = true;
        retired = true;
        channel.abort();
      } else {
        liveness.checkProbe(now, connectTimeout);
      }
    }
    if (!closed && liveness.isSilent()) {
      handleSilence(now, connectTimeout);
    }
  }

  /** Ends it if it did not open or is idle for too long; whether that is so. */
  private boolean checkUse(long now, long connectTimeout, long idleTimeout) {
    if (!liveness.isOpen() && liveness.openTimedOut(now, connectTimeout)) {
      end(DisconnectReason.NEVER_UP);
      return true;
    }
    if (attempts.isEmpty() && liveness.idleTimedOut(now, idleTimeout)) {
      retire();
      return true;
    }
    return false;
  }

  /** Sends a probe, or ends it for half a response, if either is due; whether one was. */
  private boolean checkInput(long now, long connectTimeout) {
    if (liveness.isOpen() && !attempts.isEmpty() && liveness.probeDue(now, connectTimeout)) {
      liveness.onProbeSent(now, connectTimeout);
      write(EngineCommand.there(PROBE_ID));
      return true;
    }
    if (partialSince > 0 && now >= partialSince + connectTimeout) {
      end(DisconnectReason.GARBLED);
      return true;
    }
    return false;
  }

  private void handleSilence(long now, long connectTimeout) {
    boolean engineHeard = transport.heardSince(liveness.probedAt());
    switch (liveness.silenceAction(now, connectTimeout, engineHeard)) {
      case OPEN_ANOTHER -> transport.openAnother();
      case GIVE_UP -> end(DisconnectReason.MUTE);
      default -> {}
    }
  }

  /**
   * Whether it holds an attempt that must not be written any more: cancelled, or kept for too long
   * by a peer that does not read while its engine drains.
   */
  private boolean holdsObsoleteWrite(long now) {
    return writes.cancelledAttemptPending()
        || (!engineAddress.isReady() && holdsWriteSince(now - owner.maxWriteDelay()));
  }

  private boolean holdsWriteSince(long sentAt) {
    return attempts.all().stream()
        .anyMatch(inFlight -> writes.isPending(inFlight) && inFlight.attempt.sentAt <= sentAt);
  }

  /**
   * A new connection to its engine failed: if this one does not answer its probe, its attempts end
   * with their outcome unknown.
   */
  void onEngineUnreachable() {
    if (liveness.isSilent()) {
      owner.warnRateLimited(
          "engine "
              + engineId()
              + " is silent; "
              + attempts.size()
              + " attempts end with unknown outcome");
      end(DisconnectReason.SILENT);
    } else if (attempts.isEmpty()) {
      retire();
    }
  }

  private void end(DisconnectReason how) {
    end(how, false);
  }

  /**
   * Ends the connection; each attempt on it ends as that means for it.
   *
   * @param writesKnown whether the channel has closed, so that it is known what was written: while
   *     it is open, an attempt that was handed over may be on its way though nobody said so yet
   */
  private void end(DisconnectReason how, boolean writesKnown) {
    if (closed) {
      return;
    }
    closed = true;
    countEnd(how);
    transport.onConnectionEnded(this);
    if (how == DisconnectReason.CLOSED_BY_US) {
      channel.close();
    } else {
      channel.abort();
    }
    for (InFlightAttempt inFlight : attempts.copy()) {
      endAttempt(inFlight, how, writesKnown);
    }
    if (how == DisconnectReason.REFUSED || how == DisconnectReason.NEVER_UP) {
      transport.onConnectFailed();
    }
  }

  private void endAttempt(InFlightAttempt inFlight, DisconnectReason how, boolean writesKnown) {
    boolean resumable = how != DisconnectReason.CLOSED_BY_US && how != DisconnectReason.SILENT;
    if (!resumable || !transport.resume(inFlight)) {
      boolean whole = writesKnown ? writes.isCompleted(inFlight) : inFlight.handedOver();
      owner.attemptEnded(inFlight, how.outcome(whole || inFlight.pages != null));
    }
  }

  private void countEnd(DisconnectReason how) {
    owner.telemetry().metrics().add(Counter.ENGINE_CONNECTIONS_ENDED, how);
    if (how != DisconnectReason.CLOSED_BY_US || !attempts.isEmpty()) {
      owner
          .telemetry()
          .log()
          .event(
              owner.now(),
              Topic.CONNECTION,
              "engine connection closed",
              "engine",
              engineId(),
              "reason",
              how,
              "attempts",
              attempts.size(),
              "opened",
              liveness.isOpen());
    }
  }
}
