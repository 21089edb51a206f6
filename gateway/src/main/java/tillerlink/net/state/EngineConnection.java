package tillerlink.net.state;

import java.util.List;
import tillerlink.model.AttemptOutcome;
import tillerlink.net.wire.EngineCommand;
import tillerlink.net.wire.EngineResponse;
import tillerlink.net.wire.EngineResponseParser;
import tillerlink.plain.Units;
import tillerlink.port.SendVerdict;

/**
 * A connection to an engine over the platform's line protocol, which can carry several attempts at
 * once. Confined to the event-loop thread; all times are tenths of a millisecond.
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

  /** Whether this connection takes no new attempts and closes once those on it have ended. */
  private boolean retired;

  /** Whether the channel was aborted because of an attempt that must not be written any more. */
  private boolean aborted;

  /** The time since which a response is incomplete; 0 if none is. */
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

  String engineId() {
    return engineAddress.id;
  }

  /** Returns whether it can take one more attempt, whose id was not used on it recently. */
  boolean accepts(String id, int maxAttempts) {
    return !retired
        && !liveness.isSilent()
        && !closed
        && attempts.size() < maxAttempts
        && !attempts.presentOrRecentlyEnded(id);
  }

  /** Returns the number of attempts on the connection. */
  int attemptCount() {
    return attempts.size();
  }

  /** Returns the attempt with that id, or null if the connection carries none. */
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
   * Writes an attempt, or requests its missing pages. Guards the drain rule: an attempt that waited
   * for the connection to open is not sent to an engine that began to drain in the meantime,
   * because the grace may be over. Pages may be requested, since they are no new work.
   */
  private void start(InFlightAttempt inFlight) {
    if (inFlight.pages != null) {
      responses.requestMissingPages(inFlight);
      return;
    }
    SendVerdict verdict = inFlight.checkWrite();
    if (verdict == SendVerdict.ALLOWED) {
      writeAttempt(inFlight);
    } else if (verdict != SendVerdict.CLIENT_INPUT_UNREAD
        || !owner.awaitClientInput(inFlight, () -> startIfCarried(inFlight))) {
      owner.attemptBlocked(inFlight, verdict);
      transport.endUnsent(inFlight, DisconnectReason.WITHDRAWN);
    }
  }

  private void writeAttempt(InFlightAttempt inFlight) {
    long millisLeft = inFlight.millisLeft(owner.now());
    long deadline = owner.writeDeadline(inFlight);
    channel.writeUntil(
        EngineCommand.run(
            inFlight.id(),
            inFlight.requestClass(),
            millisLeft,
            inFlight.key(),
            inFlight.statement()),
        deadline);
    writes.onAttemptWrite(inFlight, deadline, millisLeft * Units.TENTHS_PER_MS);
  }

  /** Writes a command that carries no attempt. */
  void write(byte[] bytes) {
    channel.write(bytes);
    writes.onWrite();
  }

  /** Cancels an attempt and returns the outcome, which states if it may have been executed. */
  AttemptOutcome cancel(InFlightAttempt inFlight) {
    boolean passedToChannel = inFlight.passedToChannel();
    if (passedToChannel && !closed) {
      writes.onCancelled(inFlight);
      write(EngineCommand.cancel(inFlight.id()));
    }
    return DisconnectReason.CLOSED_BY_US.outcome(passedToChannel);
  }

  /** Removes an attempt that has ended, and closes a retired connection with its last attempt. */
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
    // A client may have disconnected while the connection was being opened.
    List<InFlightAttempt> waiting = attempts.copy();
    owner.runAfterPendingReads(() -> waiting.forEach(this::startIfCarried));
  }

  private void startIfCarried(InFlightAttempt inFlight) {
    if (!closed && attempts.get(inFlight.id()) == inFlight) {
      start(inFlight);
    }
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
      owner.attemptSent(inFlight, firstByteAt, written.deadline(), written.announcedWait());
      if (inFlight.hasGuard()) {
        owner.attemptWritten(inFlight);
      }
    }
  }

  /** Ends the attempt as not executed: it was passed to the channel, but no byte was written. */
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
      partialSince = !parser.hasPartialResponse() ? 0 : partialSince == 0 ? now : partialSince;
    } catch (IllegalArgumentException e) {
      owner.warnRateLimited(
          "unreadable response from engine " + engineId() + ": " + e.getMessage());
      end(DisconnectReason.GARBLED);
    }
  }

  /** Treats a close within a response as GARBLED, because the attempts were then executed. */
  @Override
  public void onClosed(DisconnectReason reason) {
    end(
        aborted
            ? DisconnectReason.HELD_BACK
            : parser.hasPartialResponse() ? DisconnectReason.GARBLED : reason,
        true);
  }

  // ---- time ----

  /** Returns whether the connection is still being opened. */
  boolean dialing() {
    return !liveness.isOpen();
  }

  /** Returns whether the connection opened, or the engine was heard on it, at or after a time. */
  boolean heardSince(long earliest) {
    return liveness.heardSince(earliest);
  }

  /** Returns when it became idle; {@link Long#MAX_VALUE} if it has attempts or is not open yet. */
  long idleSince() {
    return liveness.isOpen() && attempts.isEmpty() ? liveness.idleSince() : Long.MAX_VALUE;
  }

  /**
   * Takes no new attempts and closes once none is left. A connection that is still being opened
   * closes at once, because any process may listen at its address by then.
   */
  void retire() {
    retired = true;
    if (attempts.isEmpty() || !liveness.isOpen()) {
      end(DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Closes a connection that did not open in time, or that is idle; the latter sooner than the
   * engine would, so that no attempt is sent while the engine closes it. Guards also against a
   * machine that vanished ({@link ConnectionLiveness}): if no new connection opens either, the
   * engine cannot be reached and the attempts end with unknown outcome. If another connection to
   * the engine works, only this one is dead: its attempts were executed and their responses are
   * lost. The same applies to a response whose rest is not received. Aborts the connection so that
   * an attempt is never sent if it was cancelled, or waited too long for a draining engine.
   */
  void checkTimeouts(long connectTimeout, long idleTimeout) {
    if (closed) {
      return;
    }
    long now = owner.now();
    if (!checkUse(now, connectTimeout, idleTimeout) && !checkInput(now, connectTimeout)) {
      if (!aborted && hasObsoleteWrite(now)) {
        // Its attempts end in onClosed, because only then is it known which of them were written.
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

  /** Ends the connection and returns true if it did not open in time or was idle for too long. */
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

  /** Sends a due probe, or ends the connection if a response stays incomplete; true if either. */
  private boolean checkInput(long now, long connectTimeout) {
    if (liveness.isOpen() && !attempts.isEmpty() && liveness.probeDue(now, connectTimeout)) {
      liveness.onProbeSent(now, connectTimeout);
      write(EngineCommand.checkLiveness(PROBE_ID));
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
   * Returns whether an attempt is pending that must not be written any more: one that was
   * cancelled, or one that waited too long for a peer that does not read, for a draining engine.
   */
  private boolean hasObsoleteWrite(long now) {
    return writes.cancelledAttemptPending()
        || (!engineAddress.isReady() && hasWritePendingSince(now - owner.maxWriteDelay()));
  }

  private boolean hasWritePendingSince(long sentAt) {
    return attempts.all().stream()
        .anyMatch(inFlight -> writes.isPending(inFlight) && inFlight.attempt.sentAt <= sentAt);
  }

  /**
   * Reacts to a new connection to the engine that failed. If this connection is silent too, it ends
   * and its attempts end with unknown outcome; if it carries none, it is retired.
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

  private void end(DisconnectReason reason) {
    end(reason, false);
  }

  /**
   * Ends the connection and each attempt on it with the outcome that follows from the reason.
   *
   * @param writesKnown whether the channel has closed, so that it is known what was written; while
   *     it is open, an attempt passed to it may have been sent without being reported yet
   */
  private void end(DisconnectReason reason, boolean writesKnown) {
    if (closed) {
      return;
    }
    closed = true;
    transport.onConnectionEnded(this, reason);
    if (reason == DisconnectReason.CLOSED_BY_US) {
      channel.close();
    } else {
      channel.abort();
    }
    for (InFlightAttempt inFlight : attempts.copy()) {
      endAttempt(inFlight, reason, writesKnown);
    }
    if (reason == DisconnectReason.REFUSED || reason == DisconnectReason.NEVER_UP) {
      transport.onConnectFailed();
    }
  }

  private void endAttempt(InFlightAttempt inFlight, DisconnectReason reason, boolean writesKnown) {
    boolean resumable =
        reason != DisconnectReason.CLOSED_BY_US && reason != DisconnectReason.SILENT;
    if (!resumable || !transport.resume(inFlight)) {
      boolean mayHaveRun = writesKnown ? writes.isCompleted(inFlight) : inFlight.passedToChannel();
      owner.attemptEnded(inFlight, reason.outcome(mayHaveRun || inFlight.pages != null));
    }
  }
}
