package tillerlink.policy;

/** What the guard says of an attempt that is about to be sent, with its reason. */
public enum SendVerdict {
  /** It may be sent. */
  ALLOWED,
  /** The request has its answer, or its client cancelled. */
  REQUEST_ENDED,
  /** Its client is disconnected and has not asked again. */
  CLIENT_GONE,
  /** The attempt was cancelled before it was written. */
  CANCELLED,
  /** The client does not wait any longer. */
  NO_TIME_LEFT,
  /** The endpoint list is not confirmed: the engine may drain or be gone. */
  LIST_UNCONFIRMED,
  /** The engine drains or is gone. */
  ENGINE_NOT_READY,
  /** The class may not run on that engine. */
  PLACEMENT,
  /** An earlier attempt may have run, and the request must not run again, there or at all. */
  REPEAT,
  /** An earlier request of its key is not finished. */
  ORDER,
  /** It would exceed the retry budget. */
  RETRY_BUDGET,
  /** State shared between gateways does not allow it now. */
  SHARED_STATE,
  /** It could not be written soon enough after it was decided on. */
  WRITE_DELAYED
}
