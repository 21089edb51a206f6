package tillerlink.net.state;

import tillerlink.model.AttemptOutcome;

/**
 * Every way a connection can end, and what each means for an attempt that was on it. The names are
 * labels of metrics.
 */
public enum DisconnectReason {
  /** Nobody listens at the other end. */
  REFUSED,
  /** It did not come up in time. */
  NEVER_UP,
  /** It did not answer a probe, and a new one to the same address failed. */
  SILENT,
  RESET,
  CLOSED_BY_PEER,
  /**
   * The peer sent what can't be read, or half a response and no more: its attempts were executed,
   * their responses are lost.
   */
  GARBLED,
  /**
   * It did not answer a probe, while the engine answers on another: the connection alone is dead.
   */
  MUTE,
  /** No descriptor or no room was left for it here. */
  NO_ROOM,
  /** Its engine drains, or is gone, and nothing of the attempt was written. */
  WITHDRAWN,
  /** The same, with a part of what was written still waiting here for a peer that does not read. */
  HELD_BACK,
  CLOSED_BY_US;

  /**
   * What it means for an attempt.
   *
   * @param whole the attempt may have come whole to the engine; else it surely was not executed
   */
  public AttemptOutcome outcome(boolean whole) {
    return switch (this) {
      // It may have run before, on a connection that broke while its result came.
      case REFUSED, NEVER_UP, SILENT ->
          whole ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.CONNECT_FAILED;
      // A connection that came up and broke says that somebody is there; only what it bore may be
      // in doubt.
      case RESET, CLOSED_BY_PEER ->
          whole ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT;
      case GARBLED, MUTE, HELD_BACK ->
          whole ? AttemptOutcome.RESPONSE_LOST : AttemptOutcome.NOT_SENT;
      case NO_ROOM, WITHDRAWN -> AttemptOutcome.NOT_SENT;
      case CLOSED_BY_US -> whole ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
    };
  }
}
