package tillerlink.net.http2;

import tillerlink.net.state.InFlightAttempt;

/** An attempt on a stream of one connection. Owned by the event-loop thread. */
final class AttemptStream {
  /** The number of the last write while that has not been handed to the channel. */
  static final long UNSENT = Long.MAX_VALUE;

  final InFlightAttempt inFlight;
  final int streamId;

  /** The number of the write with the request's last byte. */
  long lastWriteNumber = UNSENT;

  /** Its response has begun with a status that stands for a result. */
  boolean responseAccepted;

  /** When the engine's window was found closed for its body; 0 if it is open. */
  long windowClosedSince;

  AttemptStream(InFlightAttempt inFlight, int streamId) {
    this.inFlight = inFlight;
    this.streamId = streamId;
  }

  /** Whether the request's last byte was handed to the channel. */
  boolean handedOver() {
    return lastWriteNumber != UNSENT;
  }
}
