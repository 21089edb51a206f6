package tillerlink.net.state;

import tillerlink.model.AttemptOutcome;

/**
 * The reason for which a connection ended, with the outcome that each reason gives an attempt on
 * the connection. The names are labels of metrics.
 */
public enum DisconnectReason {
  /** The connection could not be opened: no process listens at the address. */
  REFUSED,
  /** The connection did not open within the connect time-out. */
  NEVER_UP,
  /** The peer did not answer a probe, and a new connection to the same address failed. */
  SILENT,
  /** The connection broke with an I/O error. */
  RESET,
  CLOSED_BY_PEER,
  /**
   * The peer sent bytes that cannot be parsed, or only a part of a response. The attempts on the
   * connection were executed and their responses are lost.
   */
  GARBLED,
  /**
   * The peer did not answer a probe, while the engine answers on another connection: only this
   * connection is dead.
   */
  MUTE,
  /** This process had no file descriptor, or no room within its limits, for the connection. */
  NO_ROOM,
  /**
   * The attempt must not be written any more, for example because its engine is draining or gone,
   * and no byte of it was written.
   */
  WITHDRAWN,
  /**
   * The engine is draining or gone, or an attempt was cancelled, while bytes passed to the channel
   * still waited for a peer that does not read.
   */
  HELD_BACK,
  CLOSED_BY_US;

  /**
   * Returns the outcome of an attempt on a connection that ended for this reason.
   *
   * @param whole whether the engine may have received the whole attempt; if false, the attempt was
   *     certainly not executed
   */
  public AttemptOutcome outcome(boolean whole) {
    return switch (this) {
      // If the whole attempt may have been received, it may have been executed on an earlier
      // connection that broke while its result was being received.
      case REFUSED, NEVER_UP, SILENT ->
          whole ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.CONNECT_FAILED;
      // A connection that opened and then broke proves that a process listens there, so only the
      // attempts that it carried may be in doubt.
      case RESET, CLOSED_BY_PEER ->
          whole ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT;
      case GARBLED, MUTE, HELD_BACK ->
          whole ? AttemptOutcome.RESPONSE_LOST : AttemptOutcome.NOT_SENT;
      case NO_ROOM, WITHDRAWN -> AttemptOutcome.NOT_SENT;
      case CLOSED_BY_US -> whole ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
    };
  }
}
