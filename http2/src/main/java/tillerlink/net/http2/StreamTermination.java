package tillerlink.net.http2;

import tillerlink.model.AttemptOutcome;

/**
 * The ways in which a stream can end, each with the outcome of its attempt if the engine may have
 * received the whole request, and the outcome if it did not. docs/http2-design.md explains for each
 * of them whether it proves that nothing was executed.
 */
public enum StreamTermination {
  /** The response was received completely. */
  COMPLETED(AttemptOutcome.SUCCEEDED),
  /** The response states that the engine was full and did not execute the request. */
  ENGINE_FULL(AttemptOutcome.REJECTED),
  /** The response states that the request had already ended and was not executed. */
  NOT_EXECUTED(AttemptOutcome.NOT_SENT),
  /** The response carries no result and does not state that nothing was executed. */
  ENGINE_ERROR(AttemptOutcome.FAILED),
  /** The id is above the last id of a GOAWAY, so the request was not processed (RFC 9113, 6.8). */
  ABOVE_GOAWAY(AttemptOutcome.NOT_SENT),
  /** The stream was reset with REFUSED_STREAM, so the request was not processed (8.7). */
  REFUSED(AttemptOutcome.REJECTED),
  /** The stream was reset with another code before the response began. */
  RESET_BEFORE_ANSWER(AttemptOutcome.FAILED, AttemptOutcome.NOT_SENT),
  /** The stream was reset after the response began. */
  RESET_IN_ANSWER(AttemptOutcome.RESPONSE_LOST),
  /** The response is malformed, contradicts its declared length, or is too long. */
  GARBLED(AttemptOutcome.RESPONSE_LOST, AttemptOutcome.NOT_SENT),
  /** The connection ended while the stream was open. */
  CUT(AttemptOutcome.CONNECTION_LOST, AttemptOutcome.NOT_SENT),
  /** The connection did not answer a probe, and a new connection failed too. */
  SILENT(AttemptOutcome.CONNECTION_LOST, AttemptOutcome.CONNECT_FAILED),
  /** The connection did not answer a probe, while the engine answered on another one. */
  MUTE(AttemptOutcome.RESPONSE_LOST, AttemptOutcome.NOT_SENT),
  /** The engine's flow-control window stayed closed before the body was sent to its end. */
  WINDOW_CLOSED(AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT),
  /**
   * The request must not be written any more, for example because its engine drains, and its last
   * byte was not handed to the channel.
   */
  WITHDRAWN(AttemptOutcome.NOT_SENT),
  /** No stream was available in time, or the request exceeds a limit. */
  NO_ROOM(AttemptOutcome.NOT_SENT),
  /** The gateway cancelled the attempt. */
  CANCELLED(AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT);

  private final AttemptOutcome outcomeIfReceived;
  private final AttemptOutcome outcomeIfNotReceived;

  StreamTermination(AttemptOutcome outcome) {
    this(outcome, outcome);
  }

  StreamTermination(AttemptOutcome outcomeIfReceived, AttemptOutcome outcomeIfNotReceived) {
    this.outcomeIfReceived = outcomeIfReceived;
    this.outcomeIfNotReceived = outcomeIfNotReceived;
  }

  /**
   * Returns the outcome of the attempt on the stream.
   *
   * @param received whether the engine may have received the whole request, because its last byte
   *     was written. An engine processes a request only when it has received all of it
   *     (docs/http2-wire.md; a shorter body is malformed, 8.1.1)
   * @param responseStarted whether the attempt's response had begun, on this stream or an earlier
   *     one, which means that the request was executed
   */
  public AttemptOutcome outcome(boolean received, boolean responseStarted) {
    AttemptOutcome outcome = received ? outcomeIfReceived : outcomeIfNotReceived;
    return responseStarted
            && outcome != AttemptOutcome.SUCCEEDED
            && outcome != AttemptOutcome.CANCELLED
        ? AttemptOutcome.RESPONSE_LOST
        : outcome;
  }

  /** Returns true if the rest of a result may be requested on another connection. */
  boolean isResumable() {
    return switch (this) {
      case CUT, MUTE, REFUSED, ABOVE_GOAWAY, RESET_BEFORE_ANSWER, RESET_IN_ANSWER -> true;
      default -> false;
    };
  }
}
