package tillerlink.net.http2;

import java.util.List;
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
  private static final byte[] NO_BODY = {};

  private final Http2Transport transport;
  private final EngineTransport.Owner owner;
  private final EngineAddress engineAddress;
  private final Http2ClientConnection protocol = new Http2ClientConnection();
  private final ConnectionLiveness liveness;
  private final AttemptStreams streams = new AttemptStreams();
  private final RequestWrites writes;
  private final ResultReceiver results;
  private final UnsentRequestChecks unsentRequests;

  private Channel channel;
  private boolean closed;

  /** Takes no new attempts; closes once those on it have ended. */
  private boolean retired;

  private long responseCount;

  Http2EngineConnection(Http2Transport transport, long now) {
    this.transport = transport;
    owner = transport.owner;
    engineAddress = transport.engineAddress;
    liveness = new ConnectionLiveness(now, false);
    writes = new RequestWrites(owner);
    results = new ResultReceiver(owner, engineAddress);
    unsentRequests = new UnsentRequestChecks(owner, engineAddress, protocol, writes);
  }

  void dial() {
    channel = owner.connect(engineAddress.socketAddress(), this);
  }

  // ---- for the pool ----

  @Override
  public boolean isUp() {
    return liveness.isOpen() && protocol.settingsReceived();
  }

  @Override
  public boolean isDialing() {
    return !liveness.isOpen();
  }

  @Override
  public boolean acceptsStreams() {
    return !closed && !retired && !liveness.isSilent() && !protocol.isSpent();
  }

  @Override
  public int openStreams() {
    return protocol.open();
  }

  @Override
  public long maxConcurrentStreams() {
    return protocol.maxConcurrentStreams();
  }

  @Override
  public long responses() {
    return responseCount;
  }

  @Override
  public long dialedAt() {
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
      transport.endInNextIteration(inFlight, StreamTermination.WITHDRAWN.outcome(false, false));
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
      transport.endInNextIteration(inFlight, StreamTermination.NO_ROOM.outcome(false, resumed));
      return;
    }
    streams.add(new AttemptStream(inFlight, streamId));
    flush();
  }

  boolean carries(InFlightAttempt inFlight) {
    return streams.find(inFlight) != null;
  }

  /**
   * Cancels an attempt; a request of which a part was written may be received whole before the
   * reset.
   */
  AttemptOutcome cancel(InFlightAttempt inFlight) {
    boolean sent = streams.find(inFlight).handedOver();
    release(inFlight);
    boolean started = inFlight.resultStarted();
    return StreamTermination.CANCELLED.outcome(sent || started, started);
  }

  /** An attempt is over, by whatever ended it. */
  void release(InFlightAttempt inFlight) {
    AttemptStream stream = streams.find(inFlight);
    protocol.cancel(stream.streamId, ErrorCode.CANCEL);
    forget(stream);
    closeIfSpent();
    flush();
  }

  private void forget(AttemptStream stream) {
    streams.remove(stream);
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
    writes.onWriteBegun();
    for (int streamId : protocol.takeSentRequests()) {
      AttemptStream stream = streams.find(streamId);
      if (stream != null) {
        writes.onLastByteHandedOver(stream);
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
    writes.onWriteCompleted();
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
    writes.onChannelClosed();
    end(StreamTermination.CUT, how);
  }

  // ---- events of the protocol ----

  private void handle(Event event) {
    if (event instanceof Event.Interim interim) {
      results.onInterim(streams.find(interim.stream()), interim);
    } else if (event instanceof Event.Response response) {
      AttemptStream stream = streams.find(response.stream());
      conclude(stream, results.onResponse(stream, response));
    } else if (event instanceof Event.Body body) {
      AttemptStream stream = streams.find(body.stream());
      conclude(stream, results.onBody(stream, body));
    } else if (event instanceof Event.Ended ended) {
      conclude(streams.find(ended.stream()), ended.how());
    } else if (event instanceof Event.Broken broken) {
      owner.warnRateLimited(
          "HTTP/2 protocol error from engine " + engineAddress.id + ": " + broken.why());
      flush();
      end(StreamTermination.GARBLED, DisconnectReason.GARBLED);
    } else if (event instanceof Event.Leaving && streams.isEmpty()) {
      end(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Ends a stream.
   *
   * @param stream null if it is over already
   * @param how null if it goes on
   */
  private void conclude(AttemptStream stream, StreamTermination how) {
    if (stream == null || how == null) {
      return;
    }
    if (how == StreamTermination.COMPLETED) {
      complete(stream);
    } else {
      finish(stream, how);
    }
  }

  private void complete(AttemptStream stream) {
    responseCount++;
    forget(stream);
    boolean valid = stream.inFlight.completeResult();
    owner.attemptEnded(
        stream.inFlight,
        (valid ? StreamTermination.COMPLETED : StreamTermination.GARBLED).outcome(true, true));
    closeIfSpent();
  }

  /**
   * A stream is over and its attempt with it, unless the rest of its result can be requested on
   * another connection.
   */
  private void finish(AttemptStream stream, StreamTermination how) {
    protocol.cancel(stream.streamId, ErrorCode.CANCEL);
    forget(stream);
    boolean started = stream.inFlight.resultStarted();
    if (how == StreamTermination.ENGINE_ERROR || how == StreamTermination.ENGINE_FULL) {
      responseCount++;
    }
    if (!(started && how.isResumable() && transport.resume(stream.inFlight))) {
      owner.attemptEnded(stream.inFlight, how.outcome(writes.mayHaveBeenReceived(stream), started));
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
   * Takes no new attempts. One that is still being opened would lead to whichever process then
   * listens at its address: it closes.
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
   * Guards against a machine that vanished ({@link ConnectionLiveness}) and against a flow-control
   * window that stays closed while the path works, which does not mean a slow engine; applies a
   * drain to requests that were not wholly sent.
   */
  void checkTimeouts(long connectTimeout) {
    long now = owner.now();
    if (closed) {
      return;
    }
    if (!isUp() && liveness.openTimedOut(now, connectTimeout)) {
      end(StreamTermination.CUT, DisconnectReason.NEVER_UP);
      return;
    }
    for (AttemptStream stream : streams.copy()) {
      if (unsentRequests.holdsObsoleteWrite(stream, now)) {
        // What was written is known once the connection has closed.
        retired = true;
        channel.abort();
        return;
      }
      conclude(stream, unsentRequests.check(stream, now, connectTimeout));
    }
    flush();
    if (!closed) {
      checkSilence(now, connectTimeout);
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
    writes.onConnectionEnded();
    transport.onConnectionEnded(this);
    if (reason == DisconnectReason.CLOSED_BY_US || reason == DisconnectReason.GARBLED) {
      channel.close();
    } else {
      channel.abort();
    }
    for (AttemptStream stream : streams.copy()) {
      finish(stream, how);
    }
    if (reason == DisconnectReason.REFUSED || reason == DisconnectReason.NEVER_UP) {
      transport.onConnectFailed(reason.outcome(false));
    }
    transport.serve();
  }
}
