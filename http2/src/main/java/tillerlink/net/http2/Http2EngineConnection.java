package tillerlink.net.http2;

import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import tillerlink.model.AttemptOutcome;
import tillerlink.net.pool.StreamPool;
import tillerlink.net.state.Channel;
import tillerlink.net.state.ConnectionLiveness;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;
import tillerlink.net.state.InFlightAttempt;
import tillerlink.port.SendVerdict;

/**
 * One HTTP/2 connection to an engine: attempts are streams on it, as docs/http2-wire.md defines
 * them. Owned by the event-loop thread.
 */
final class Http2EngineConnection implements Channel.Owner, StreamPool.Member {
  private static final int MAX_RESULT_BYTES = 48_000;
  private static final byte[] NO_BODY = {};

  private final Http2Transport transport;
  private final EngineTransport.Owner owner;
  private final EngineAddress engineAddress;
  private final Http2ClientConnection protocol = new Http2ClientConnection();
  private final ConnectionLiveness liveness;
  private final Map<Integer, AttemptStream> streams = new LinkedHashMap<>();
  private final Map<InFlightAttempt, AttemptStream> byAttempt = new IdentityHashMap<>();

  /** Fenced attempts whose last byte is being written, in that order. */
  private final ArrayDeque<AttemptStream> fencedWrites = new ArrayDeque<>(0);

  private Channel channel;
  private boolean closed;

  /** Takes no new attempts; closes once those on it have ended. */
  private boolean retired;

  /** The channel has closed, so that it is known what was written. */
  private boolean writesKnown;

  private long writesBegun;
  private long writesCompleted;
  private long responses;

  Http2EngineConnection(Http2Transport transport, long now) {
    this.transport = transport;
    owner = transport.owner;
    engineAddress = transport.engineAddress;
    liveness = new ConnectionLiveness(now, false);
  }

  void dial() {
    channel = owner.connect(engineAddress.socketAddress(), this);
  }

  // ---- for the pool ----

  @Override
  public boolean up() {
    return liveness.isOpen() && protocol.settingsSeen();
  }

  @Override
  public boolean dialing() {
    return !liveness.isOpen();
  }

  @Override
  public boolean sound() {
    return !closed && !retired && !liveness.isSilent() && !protocol.isSpent();
  }

  @Override
  public int bears() {
    return protocol.open();
  }

  @Override
  public long most() {
    return protocol.streamsMost();
  }

  @Override
  public long answered() {
    return responses;
  }

  @Override
  public long openedAt() {
    return liveness.dialedAt();
  }

  @Override
  public long idleSince() {
    return liveness.idleSince();
  }

  // ---- attempts ----

  void send(InFlightAttempt inFlight) {
    boolean resumed = inFlight.resultStarted();
    SendVerdict verdict = resumed ? SendVerdict.ALLOWED : inFlight.checkWrite();
    if (verdict != SendVerdict.ALLOWED) {
      owner.attemptBlocked(inFlight, verdict);
      endInNextIteration(inFlight, StreamTermination.WITHDRAWN.outcome(false, false));
      return;
    }
    byte[] body = resumed ? NO_BODY : inFlight.statement();
    List<Header> headers =
        resumed
            ? EngineRequests.resume(inFlight)
            : EngineRequests.execute(inFlight, body.length, owner.now());
    int streamId;
    try {
      streamId = protocol.open(headers, body);
    } catch (IllegalArgumentException e) {
      owner.warnRateLimited(
          "engine " + engineAddress.id + " does not accept header lists of that length");
      endInNextIteration(inFlight, StreamTermination.NO_ROOM.outcome(false, resumed));
      return;
    }
    AttemptStream stream = new AttemptStream(inFlight, streamId);
    streams.put(streamId, stream);
    byAttempt.put(inFlight, stream);
    flush();
  }

  private void endInNextIteration(InFlightAttempt inFlight, AttemptOutcome outcome) {
    owner.runInNextIteration(() -> owner.attemptEnded(inFlight, outcome));
  }

  boolean carries(InFlightAttempt inFlight) {
    return byAttempt.containsKey(inFlight);
  }

  /**
   * Whether a request may have come whole to the engine. What the engine says of a stream comes
   * after we heard that it was written, and so does the connection's own end. Where we end the
   * connection that is not so: what was handed over may be on its way though nobody said so yet.
   */
  private boolean maybeReceivedWhole(AttemptStream stream) {
    return (closed && !writesKnown)
        ? stream.handedOver()
        : stream.lastWriteNumber <= writesCompleted;
  }

  /**
   * Cancels an attempt; a request of which a part was written may come whole while the reset is on
   * its way.
   */
  AttemptOutcome cancel(InFlightAttempt inFlight) {
    boolean sent = byAttempt.get(inFlight).handedOver();
    release(inFlight);
    boolean started = inFlight.resultStarted();
    return StreamTermination.CANCELLED.outcome(sent || started, started);
  }

  /** An attempt is over, by whatever ended it. */
  void release(InFlightAttempt inFlight) {
    AttemptStream stream = byAttempt.get(inFlight);
    protocol.cancel(stream.streamId, ErrorCode.CANCEL);
    forget(stream);
    if (isSpentAndEmpty()) {
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
    flush();
  }

  private void forget(AttemptStream stream) {
    streams.remove(stream.streamId);
    byAttempt.remove(stream.inFlight, stream);
    liveness.onAttemptEnded(owner.now());
  }

  private boolean isSpentAndEmpty() {
    return streams.isEmpty() && (retired || protocol.isSpent());
  }

  /** What is to be sent before the connection is open waits in the protocol's state. */
  private void flush() {
    byte[] bytes = liveness.isOpen() && !closed ? protocol.take() : NO_BODY;
    if (bytes.length == 0) {
      return;
    }
    channel.write(bytes);
    writesBegun++;
    for (int streamId : protocol.sentWhole()) {
      AttemptStream stream = streams.get(streamId);
      if (stream != null) {
        stream.lastWriteNumber = writesBegun;
        if (stream.inFlight.fenced()) {
          fencedWrites.add(stream);
        }
      }
    }
  }

  // ---- events of the channel ----

  @Override
  public void onOpened() {
    if (closed) {
      return;
    }
    liveness.onOpened(owner.now());
    flush();
  }

  @Override
  public void onWritten() {
    writesCompleted++;
    while (!fencedWrites.isEmpty() && fencedWrites.peek().lastWriteNumber <= writesCompleted) {
      owner.attemptWritten(fencedWrites.poll().inFlight);
    }
  }

  @Override
  public void onBytes(byte[] bytes) {
    if (closed) {
      return;
    }
    liveness.onHeard(owner.now());
    protocol.feed(bytes);
    for (Event event = protocol.next(); event != null && !closed; event = protocol.next()) {
      handle(event);
    }
    flush();
    if (!closed) {
      transport.serve();
    }
  }

  @Override
  public void onClosed(DisconnectReason how) {
    writesKnown = true;
    end(StreamTermination.CUT, how);
  }

  // ---- events of the protocol ----

  private void handle(Event event) {
    if (event instanceof Event.Interim interim) {
      onProgress(streams.get(interim.stream()), EngineResponses.progress(interim.headers()));
    } else if (event instanceof Event.Answer response) {
      onResponse(streams.get(response.stream()), response);
    } else if (event instanceof Event.Body body) {
      onBody(streams.get(body.stream()), body);
    } else if (event instanceof Event.Ended ended) {
      onStreamEnded(streams.get(ended.stream()), ended.how());
    } else if (event instanceof Event.Broken broken) {
      owner.warnRateLimited(
          "HTTP/2 protocol error from engine " + engineAddress.id + ": " + broken.why());
      flush();
      end(StreamTermination.GARBLED, DisconnectReason.GARBLED);
    } else if (event instanceof Event.Leaving && streams.isEmpty()) {
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  private void onStreamEnded(AttemptStream stream, StreamTermination how) {
    if (stream != null) {
      finish(stream, how);
    }
  }

  private void onProgress(AttemptStream stream, EngineResponses.Progress progress) {
    if (stream != null && progress.isValid()) {
      owner.attemptProgressed(stream.inFlight, progress.kind(), progress.level());
    }
  }

  private void onResponse(AttemptStream stream, Event.Answer response) {
    if (stream == null) {
      return;
    }
    boolean resumed = stream.inFlight.resultStarted();
    if (!EngineResponses.bringsResult(response, resumed)) {
      finish(stream, EngineResponses.termination(response, resumed));
      return;
    }
    stream.responseAccepted = true;
    if (!resumed) {
      stream.inFlight.startResult();
    }
    if (response.last()) {
      complete(stream);
    }
  }

  private void onBody(AttemptStream stream, Event.Body body) {
    if (stream == null || !stream.responseAccepted) {
      return;
    }
    InFlightAttempt inFlight = stream.inFlight;
    if (inFlight.resultSize() + body.bytes().length > MAX_RESULT_BYTES) {
      owner.warnRateLimited("result from engine " + engineAddress.id + " is too long");
      finish(stream, StreamTermination.GARBLED);
      return;
    }
    inFlight.appendResult(body.bytes());
    owner.retainedBytesChanged(body.bytes().length);
    if (body.last()) {
      complete(stream);
    }
  }

  private void complete(AttemptStream stream) {
    responses++;
    forget(stream);
    boolean valid = stream.inFlight.completeResult();
    owner.attemptEnded(
        stream.inFlight,
        (valid ? StreamTermination.ANSWERED : StreamTermination.GARBLED).outcome(true, true));
    closeIfSpent();
  }

  /**
   * A stream is over and its attempt with it, unless the rest of its result can be had on another
   * connection.
   */
  private void finish(AttemptStream stream, StreamTermination how) {
    protocol.cancel(stream.streamId, ErrorCode.CANCEL);
    forget(stream);
    boolean started = stream.inFlight.resultStarted();
    if (how == StreamTermination.ANSWERED_ERROR || how == StreamTermination.ANSWERED_FULL) {
      responses++;
    }
    if (!(started && how.isResumable() && transport.resume(stream.inFlight))) {
      owner.attemptEnded(stream.inFlight, how.outcome(maybeReceivedWhole(stream), started));
    }
    closeIfSpent();
  }

  private void closeIfSpent() {
    if (!closed && isSpentAndEmpty()) {
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  // ---- time ----

  boolean heardSince(long then) {
    return liveness.heardSince(then);
  }

  /**
   * Takes no new attempts. One that is still being opened leads to whoever is at its address by
   * then: it closes.
   */
  void retire() {
    if (closed) {
      return;
    }
    retired = true;
    if (streams.isEmpty() || !liveness.isOpen()) {
      protocol.goAway();
      flush();
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Guards against a machine that vanished ({@link ConnectionLiveness}), against a window that
   * stays shut while the path works, which is no slow engine; and the drain, while a request is not
   * wholly sent.
   */
  void checkTimeouts(long connectTimeout) {
    long now = owner.now();
    if (closed) {
      return;
    }
    if (!up() && liveness.openTimedOut(now, connectTimeout)) {
      end(StreamTermination.CUT, DisconnectReason.NEVER_UP);
      return;
    }
    for (AttemptStream stream : List.copyOf(streams.values())) {
      if (holdsObsoleteWrite(stream, now)) {
        // What was written is known once the connection has closed.
        retired = true;
        channel.abort();
        return;
      }
      checkStream(stream, now, connectTimeout);
    }
    flush();
    if (!closed) {
      checkSilence(now, connectTimeout);
    }
  }

  /** Whether its engine drains, and the request has not wholly come there. */
  private boolean mustNotBeWritten(AttemptStream stream) {
    return !maybeReceivedWhole(stream)
        && !stream.inFlight.resultStarted()
        && !engineAddress.isReady();
  }

  /** Whether a request that must not be written any more has been kept too long by the peer. */
  private boolean holdsObsoleteWrite(AttemptStream stream, long now) {
    return stream.handedOver()
        && mustNotBeWritten(stream)
        && now >= stream.inFlight.attempt.sentAt + owner.maxWriteDelay();
  }

  private void checkStream(AttemptStream stream, long now, long connectTimeout) {
    if (!stream.handedOver() && mustNotBeWritten(stream)) {
      finish(stream, StreamTermination.WITHDRAWN);
    } else if (!protocol.isWhole(stream.streamId)) {
      stream.windowShutSince = stream.windowShutSince == 0 ? now : stream.windowShutSince;
      if (now >= stream.windowShutSince + connectTimeout) {
        owner.warnRateLimited(
            "engine " + engineAddress.id + " keeps its flow-control window closed");
        finish(stream, StreamTermination.WINDOW_SHUT);
      }
    }
  }

  private void checkSilence(long now, long connectTimeout) {
    if (!streams.isEmpty() && liveness.probeDue(now, connectTimeout)) {
      liveness.onProbeSent(now, connectTimeout);
      protocol.ping();
      flush();
    } else {
      liveness.checkProbe(now, connectTimeout);
    }
    if (!liveness.isSilent()) {
      return;
    }
    boolean engineHeard = transport.heardSince(liveness.probedAt());
    switch (liveness.silenceAction(now, connectTimeout, engineHeard)) {
      case OPEN_ANOTHER -> transport.openAnother();
      case GIVE_UP -> end(StreamTermination.MUTE, DisconnectReason.MUTE);
      default -> {}
    }
  }

  /**
   * A new connection to its engine failed: if this one does not answer its probe, its attempts end
   * with their outcome unknown.
   */
  void onEngineUnreachable() {
    if (closed) {
      return;
    }
    if (liveness.isSilent()) {
      owner.warnRateLimited(
          "engine "
              + engineAddress.id
              + " is silent; "
              + streams.size()
              + " attempts end with unknown outcome");
      end(StreamTermination.SILENT, DisconnectReason.SILENT);
    } else if (streams.isEmpty()) {
      retire();
    }
  }

  /** The connection is over; each attempt on it ends as that means for it. */
  private void end(StreamTermination how, DisconnectReason reason) {
    if (closed) {
      return;
    }
    closed = true;
    transport.onConnectionEnded(this);
    if (reason == DisconnectReason.CLOSED_BY_US || reason == DisconnectReason.GARBLED) {
      channel.close();
    } else {
      channel.abort();
    }
    for (AttemptStream stream : List.copyOf(streams.values())) {
      finish(stream, how);
    }
    if (reason == DisconnectReason.REFUSED || reason == DisconnectReason.NEVER_UP) {
      transport.onConnectFailed(reason.outcome(false));
    }
    transport.serve();
  }
}
