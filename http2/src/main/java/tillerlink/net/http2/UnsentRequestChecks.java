package tillerlink.net.http2;

import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;

/**
 * Checks the streams of one connection whose request was not wholly sent: whether its engine
 * drains, and whether the engine keeps its flow-control window closed. Owned by the event-loop
 * thread.
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

  /** Whether its engine drains, and the request was not wholly received there. */
  private boolean mustNotBeWritten(AttemptStream stream) {
    return !writes.mayHaveBeenReceived(stream)
        && !stream.inFlight.resultStarted()
        && !engineAddress.isReady();
  }

  /** Whether a request that must not be written any more has been delayed too long by the peer. */
  boolean holdsObsoleteWrite(AttemptStream stream, long now) {
    return stream.handedOver()
        && mustNotBeWritten(stream)
        && now >= stream.inFlight.attempt.sentAt + owner.maxWriteDelay();
  }

  /**
   * Checks a request of which a part was not handed to the channel.
   *
   * @return how its stream ends; null if it goes on
   */
  StreamTermination check(AttemptStream stream, long now, long connectTimeout) {
    if (!stream.handedOver() && mustNotBeWritten(stream)) {
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
