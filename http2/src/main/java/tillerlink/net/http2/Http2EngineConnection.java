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
 * An HTTP/2 connection to an engine, on which each attempt is a stream, as docs/http2-wire.md
 * defines it. Owned by the event-loop thread; times are tenths of a millisecond.
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

  /** True once the connection accepts no new attempts; it closes when those on it have ended. */
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

  // ---- view of the stream pool ----

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
    return !closed && !retired && !liveness.isSilent() && !protocol.rejectsNewStreams();
  }

  @Override
  public int openStreams() {
    return protocol.openStreamCount();
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
   * Cancels an attempt. Its request counts as received once its last byte was handed to the
   * channel, because the engine may receive all of it before the reset.
   */
  AttemptOutcome cancel(InFlightAttempt inFlight) {
    boolean sent = streams.find(inFlight).isRequestHandedOver();
    release(inFlight);
    boolean started = inFlight.resultStarted();
    return StreamTermination.CANCELLED.outcome(sent || started, started);
  }

  /** Resets the stream of an attempt that has ended for any reason. */
  void release(InFlightAttempt inFlight) {
    AttemptStream stream = streams.find(inFlight);
    protocol.cancel(stream.streamId, ErrorCode.CANCEL);
    removeStream(stream);
    closeIfDrained();
    flush();
  }

  private void removeStream(AttemptStream stream) {
    streams.remove(stream);
    liveness.onAttemptEnded(owner.now());
  }

  private boolean isDrained() {
    return streams.isEmpty() && (retired || protocol.rejectsNewStreams());
  }

  /** Writes the pending output. Until the connection is open, it stays in the protocol's buffer. */
  private void flush() {
    byte[] bytes = liveness.isOpen() && !closed ? protocol.takeOutput() : NO_BODY;
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
    for (Event event = protocol.poll(); event != null && !closed; event = protocol.poll()) {
      handle(event);
    }
    flush();
    if (!closed) {
      transport.assignStreams();
    }
  }

  @Override
  public void onClosed(DisconnectReason reason) {
    writes.onChannelClosed();
    endConnection(StreamTermination.CUT, reason);
  }

  // ---- events of the protocol ----

  private void handle(Event event) {
    if (event instanceof Event.InterimResponse interim) {
      results.onInterim(streams.find(interim.streamId()), interim);
    } else if (event instanceof Event.Response response) {
      AttemptStream stream = streams.find(response.streamId());
      applyTermination(stream, results.onResponse(stream, response));
    } else if (event instanceof Event.Body body) {
      AttemptStream stream = streams.find(body.streamId());
      applyTermination(stream, results.onBody(stream, body));
    } else if (event instanceof Event.StreamEnded ended) {
      applyTermination(streams.find(ended.streamId()), ended.termination());
    } else if (event instanceof Event.ConnectionFailed failed) {
      owner.warnRateLimited(
          "HTTP/2 protocol error from engine " + engineAddress.id + ": " + failed.reason());
      flush();
      endConnection(StreamTermination.GARBLED, DisconnectReason.GARBLED);
    } else if (event instanceof Event.GoAwayReceived && streams.isEmpty()) {
      endConnection(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Ends a stream if a termination was determined.
   *
   * @param stream null if it has already ended
   * @param termination null if the stream continues
   */
  private void applyTermination(AttemptStream stream, StreamTermination termination) {
    if (stream == null || termination == null) {
      return;
    }
    if (termination == StreamTermination.COMPLETED) {
      completeStream(stream);
    } else {
      endStream(stream, termination);
    }
  }

  private void completeStream(AttemptStream stream) {
    responseCount++;
    removeStream(stream);
    boolean valid = stream.inFlight.completeResult();
    owner.attemptEnded(
        stream.inFlight,
        (valid ? StreamTermination.COMPLETED : StreamTermination.GARBLED).outcome(true, true));
    closeIfDrained();
  }

  /**
   * Ends a stream, and its attempt unless the rest of the result can be requested on another
   * connection.
   */
  private void endStream(AttemptStream stream, StreamTermination termination) {
    protocol.cancel(stream.streamId, ErrorCode.CANCEL);
    removeStream(stream);
    boolean started = stream.inFlight.resultStarted();
    if (termination == StreamTermination.ENGINE_ERROR
        || termination == StreamTermination.ENGINE_FULL) {
      responseCount++;
    }
    if (!(started && termination.isResumable() && transport.resume(stream.inFlight))) {
      owner.attemptEnded(
          stream.inFlight, termination.outcome(writes.mayHaveBeenReceived(stream), started));
    }
    closeIfDrained();
  }

  private void closeIfDrained() {
    if (!closed && isDrained()) {
      endConnection(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  // ---- time-outs and connection end ----

  boolean heardSince(long then) {
    return liveness.heardSince(then);
  }

  /**
   * Stops accepting attempts and closes once those on the connection have ended. A connection that
   * is still being opened closes at once, because it would lead to whichever process listens at the
   * address by then.
   */
  void retire() {
    if (closed) {
      return;
    }
    retired = true;
    if (streams.isEmpty() || !liveness.isOpen()) {
      protocol.goAway();
      flush();
      endConnection(StreamTermination.CUT, DisconnectReason.CLOSED_BY_US);
    }
  }

  /**
   * Ends the connection or its streams on time-outs. Guards against a machine that vanished ({@link
   * ConnectionLiveness}) and against a flow-control window that stays closed while the network path
   * works, which is no sign of a slow engine. Also withdraws requests that were not sent to their
   * end when their engine drains.
   */
  void checkTimeouts(long connectTimeout) {
    long now = owner.now();
    if (closed) {
      return;
    }
    if (!isUp() && liveness.openTimedOut(now, connectTimeout)) {
      endConnection(StreamTermination.CUT, DisconnectReason.NEVER_UP);
      return;
    }
    for (AttemptStream stream : streams.copy()) {
      if (unsentRequests.hasOverdueWrite(stream, now)) {
        // How much was written is known only after the channel has closed.
        retired = true;
        channel.abort();
        return;
      }
      applyTermination(stream, unsentRequests.check(stream, now, connectTimeout));
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
      case OPEN_ANOTHER -> transport.dialToCheckEngine();
      case GIVE_UP -> endConnection(StreamTermination.MUTE, DisconnectReason.MUTE);
      default -> {}
    }
  }

  /**
   * Handles the failure of a new connection to the engine. If this connection does not answer its
   * probe either, its attempts end with unknown outcome.
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
      endConnection(StreamTermination.SILENT, DisconnectReason.SILENT);
    } else if (streams.isEmpty()) {
      retire();
    }
  }

  /** Ends the connection, and each stream on it with the given termination. */
  private void endConnection(StreamTermination termination, DisconnectReason reason) {
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
      endStream(stream, termination);
    }
    if (reason == DisconnectReason.REFUSED || reason == DisconnectReason.NEVER_UP) {
      transport.onConnectFailed(reason.outcome(false));
    }
    transport.assignStreams();
  }
}
