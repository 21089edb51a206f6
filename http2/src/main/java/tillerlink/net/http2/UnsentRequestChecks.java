package tillerlink.net.http2;

import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;

/**
 * Checks the streams of a connection whose request was not sent to its end: whether the engine
 * drains or keeps its flow-control window closed. Owned by the event-loop thread; times are tenths
 * of a millisecond.
 */
final class UnsentRequestChecks {
  private final EngineTransport.Owner owner;
  private final EngineAddress engineAddress;
  private final Http2ClientConnection protocol;
  private final RequestWrites writes;

  UnsentRequestChecks(
      EngineTransport.Owner owner,
      EngineAddress engineAddress,
      Http2ClientConnection protocol,
      RequestWrites writes) {
    this.owner = owner;
    this.engineAddress = engineAddress;
    this.protocol = protocol;
    this.writes = writes;
  }

  /** Returns true if the engine drains and cannot have received the whole request. */
  private boolean mustNotBeWritten(AttemptStream stream) {
    return !writes.mayHaveBeenReceived(stream)
        && !stream.inFlight.resultStarted()
        && !engineAddress.isReady();
  }

  /**
   * Returns true if the channel still holds a request that must not be written any more, after the
   * peer has delayed its write for longer than allowed.
   */
  boolean hasOverdueWrite(AttemptStream stream, long now) {
    return stream.isRequestHandedOver()
        && mustNotBeWritten(stream)
        && now >= stream.inFlight.attempt.sentAt + owner.maxWriteDelay();
  }

  /**
   * Checks a request that may not have been handed to the channel to its end.
   *
   * @param connectTimeout how long the flow-control window may stay closed, in tenths of a
   *     millisecond
   * @return how the stream ends; null if it continues
   */
  StreamTermination check(AttemptStream stream, long now, long connectTimeout) {
    if (!stream.isRequestHandedOver() && mustNotBeWritten(stream)) {
      return StreamTermination.WITHDRAWN;
    }
    if (protocol.isRequestSent(stream.streamId)) {
      return null;
    }
    stream.windowClosedSince = stream.windowClosedSince == 0 ? now : stream.windowClosedSince;
    if (now < stream.windowClosedSince + connectTimeout) {
      return null;
    }
    owner.warnRateLimited("engine " + engineAddress.id + " keeps its flow-control window closed");
    return StreamTermination.WINDOW_CLOSED;
  }
}
