package tillerlink.net.http2;

import tillerlink.model.AttemptOutcome;

/**
 * Every way a stream can end, and what each means for the attempt on it. Which of them prove that
 * nothing was executed is argued line by line in docs/http2-design.md.
 */
public enum StreamTermination {
  /** Its response came whole. */
  ANSWERED,
  /** The response says that the engine was full and did not execute it. */
  ANSWERED_FULL,
  /** The answer says that it was over already and was not run. */
  ANSWERED_STALE,
  /** Any other response but a result. */
  ANSWERED_ERROR,
  /** Its id is above the last that a GOAWAY names: not acted on (RFC 9113, 6.8). */
  ABOVE_GOAWAY,
  /** Reset with REFUSED_STREAM: not acted on (8.7). */
  REFUSED,
  /** Reset with another code before any of the answer. */
  RESET_BEFORE_ANSWER,
  /** Reset after the answer began. */
  RESET_IN_ANSWER,
  /** The answer can't be read, is not as long as it says, or is too long. */
  GARBLED,
  /** The connection ended with the stream open. */
  CUT,
  /** The connection does not answer a probe, and a new one failed too. */
  SILENT,
  /** The connection does not answer a probe, while the engine is heard on another. */
  MUTE,
  /** The engine's window stayed shut for a body that was not wholly sent. */
  WINDOW_SHUT,
  /** Its engine began to drain before the last byte of the request was handed over. */
  WITHDRAWN,
  /** No connection had a stream free for it in time. */
  NO_ROOM,
  /** Cancelled here. */
  CANCELLED;

  /**
   * What it means for the attempt.
   *
   * @param whole the request may have come whole to the engine: its last byte was written. An
   *     engine acts on a request only when it has come whole (docs/http2-wire.md; a shorter body is
   *     malformed, 8.1.1)
   * @param answered the attempt's answer had begun, on this stream or on one before it: then it has
   *     run
   */
  public AttemptOutcome outcome(boolean whole, boolean answered) {
    AttemptOutcome outcome = outcome(whole);
    return answered && outcome != AttemptOutcome.SUCCEEDED && outcome != AttemptOutcome.CANCELLED
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

  private AttemptOutcome outcome(boolean whole) {
    return switch (this) {
      case ANSWERED -> AttemptOutcome.SUCCEEDED;
      case ANSWERED_FULL, REFUSED -> AttemptOutcome.REJECTED;
      case ANSWERED_STALE, ABOVE_GOAWAY, NO_ROOM, WITHDRAWN -> AttemptOutcome.NOT_SENT;
      case ANSWERED_ERROR -> AttemptOutcome.FAILED;
      case RESET_BEFORE_ANSWER -> whole ? AttemptOutcome.FAILED : AttemptOutcome.NOT_SENT;
      case RESET_IN_ANSWER -> AttemptOutcome.RESPONSE_LOST;
      case GARBLED, MUTE -> whole ? AttemptOutcome.RESPONSE_LOST : AttemptOutcome.NOT_SENT;
      case CUT -> whole ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT;
      case SILENT -> whole ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.CONNECT_FAILED;
      case WINDOW_SHUT, CANCELLED -> whole ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
    };
  }
}
