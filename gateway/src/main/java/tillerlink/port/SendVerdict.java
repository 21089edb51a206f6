package tillerlink.port;

/** The result of the check before an attempt is sent: allowed, or the reason against it. */
public enum SendVerdict {
  /** The attempt may be sent. */
  ALLOWED,
  /** The request has its answer, or its client cancelled it. */
  REQUEST_ENDED,
  /** The client is disconnected and has not asked for the answer again. */
  CLIENT_GONE,
  /** Input of the client was not read yet; it may end with a close of the connection. */
  CLIENT_INPUT_UNREAD,
  /** The attempt was cancelled before it was written. */
  CANCELLED,
  /** The deadline of the client has passed. */
  NO_TIME_LEFT,
  /** The endpoint list is not confirmed, so the engine may be draining or gone. */
  LIST_UNCONFIRMED,
  /** The engine is draining or gone. */
  ENGINE_NOT_READY,
  /** The request class may not run on that engine. */
  PLACEMENT,
  /**
   * An earlier attempt may have executed the request, and the request must not be executed again,
   * on that engine or at all.
   */
  REPEAT,
  /** An earlier request of the same key is not finished. */
  ORDER,
  /** The attempt would exceed the retry budget. */
  RETRY_BUDGET,
  /** The state shared between gateways does not allow the attempt now. */
  SHARED_STATE,
  /** There is no memory for the result of another attempt of the request at the same time. */
  OUT_OF_MEMORY,
  /** The attempt could not be written soon enough after the decision to send it. */
  WRITE_DELAYED
}
