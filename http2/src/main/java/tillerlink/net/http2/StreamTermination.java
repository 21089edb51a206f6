package tillerlink.net.http2;

import tillerlink.model.AttemptOutcome;

/**
 * Every way a stream can end, and what each means for the attempt on it: one outcome if the request
 * may have been received whole by the engine, one if not. Which of them prove that nothing was
 * executed is argued line by line in docs/http2-design.md.
 */
public enum StreamTermination {
  /** The response was received whole. */
  COMPLETED(AttemptOutcome.SUCCEEDED),
  /** The response states that the engine was full and did not execute it. */
  ENGINE_FULL(AttemptOutcome.REJECTED),
  /** The response states that the request was over already and was not executed. */
  NOT_EXECUTED(AttemptOutcome.NOT_SENT),
  /** Any other response but a result. */
  ENGINE_ERROR(AttemptOutcome.FAILED),
  /** Its id is above the last that a GOAWAY names: not acted on (RFC 9113, 6.8). */
  ABOVE_GOAWAY(AttemptOutcome.NOT_SENT),
  /** Reset with REFUSED_STREAM: not acted on (8.7). */
  REFUSED(AttemptOutcome.REJECTED),
  /** Reset with another code before any of the response. */
  RESET_BEFORE_ANSWER(AttemptOutcome.FAILED, AttemptOutcome.NOT_SENT),
  /** Reset after the response began. */
  RESET_IN_ANSWER(AttemptOutcome.RESPONSE_LOST),
  /** The response can't be read, differs from the length it states, or is too long. */
  GARBLED(AttemptOutcome.RESPONSE_LOST, AttemptOutcome.NOT_SENT),
  /** The connection ended with the stream open. */
  CUT(AttemptOutcome.CONNECTION_LOST, AttemptOutcome.NOT_SENT),
  /** The connection does not answer a probe, and a new one failed too. */
  SILENT(AttemptOutcome.CONNECTION_LOST, AttemptOutcome.CONNECT_FAILED),
  /** The connection does not answer a probe, while the engine is heard on another. */
  MUTE(AttemptOutcome.RESPONSE_LOST, AttemptOutcome.NOT_SENT),
  /** The engine's window stayed closed for a body that was not wholly sent. */
  WINDOW_CLOSED(AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT),
  /** Its engine began to drain before the last byte of the request was handed over. */
  WITHDRAWN(AttemptOutcome.NOT_SENT),
  /** No connection had a stream free for it in time. */
  NO_ROOM(AttemptOutcome.NOT_SENT),
  /** Cancelled here. */
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
   * What it means for the attempt.
   *
   * @param received the request may have been received whole by the engine: its last byte was
   *     written. An engine acts on a request only when it has received all of it
   *     (docs/http2-wire.md; a shorter body is malformed, 8.1.1)
   * @param responseStarted the attempt's response had begun, on this stream or on one before it:
   *     then it was executed
   */
  public AttemptOutcome outcome(boolean received, boolean responseStarted) {
    AttemptOutcome outcome = received ? outcomeIfReceived : outcomeIfNotReceived;
    return responseStarted
            && outcome != AttemptOutcome.SUCCEEDED
            && outcome != AttemptOutcome.CANCELLED
        ? AttemptOutcome.RESPONSE_LOST
        : outcome;
  }

  /** Whether what is missing of a result may be requested on another connection. */
  boolean isResumable() {
    return switch (this) {
      case CUT, MUTE, REFUSED, ABOVE_GOAWAY, RESET_BEFORE_ANSWER, RESET_IN_ANSWER -> true;
      default -> false;
    };
  }
}
