package tillerlink.model;

/**
 * The reason why the policy terminated a request. Log lines and metrics use the names of these
 * constants.
 */
public enum TerminationReason {
  /** The process shuts down and cannot wait any longer. */
  SHUTDOWN,
  /** There is no endpoint list that is recent enough to be trusted. */
  ENGINES_UNKNOWN,
  /** An answer would come too late to be useful. */
  TOO_LATE,
  /** A queued request could no longer be answered in time, even if it were sent at once. */
  NO_TIME_LEFT,
  /** Another attempt would exceed the retry budget. */
  RETRY_BUDGET,
  /** The queue ahead of the request is too long. */
  QUEUE_TOO_LONG,
  /** The last attempt failed, and another attempt is not allowed or not worthwhile. */
  NO_FURTHER_ATTEMPT
}
