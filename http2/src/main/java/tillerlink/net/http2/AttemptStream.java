package tillerlink.net.http2;

import tillerlink.net.state.InFlightAttempt;

/**
 * An attempt and the stream of one connection that carries it. Owned by the event-loop thread;
 * times are tenths of a millisecond.
 */
final class AttemptStream {
  /**
   * The {@link #lastWriteNumber} of a request whose last byte was not yet handed to the channel.
   */
  static final long UNSENT = Long.MAX_VALUE;

  final InFlightAttempt inFlight;
  final int streamId;

  /** The number of the channel write that contains the request's last byte. */
  long lastWriteNumber = UNSENT;

  /** True once the response's headers were received with a status that announces a result. */
  boolean responseAccepted;

  /** When the engine's flow-control window was first found closed for the body; 0 if it was not. */
  long windowClosedSince;

  AttemptStream(InFlightAttempt inFlight, int streamId) {
    this.inFlight = inFlight;
    this.streamId = streamId;
  }

  /** Returns true if the request's last byte was handed to the channel. */
  boolean isRequestHandedOver() {
    return lastWriteNumber != UNSENT;
  }
}
