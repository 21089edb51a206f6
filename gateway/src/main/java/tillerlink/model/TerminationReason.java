package tillerlink.model;

/** Why the policy terminated a request; logs and counters name these constants. */
public enum TerminationReason {
  /** The process shuts down and can't wait any longer. */
  SHUTDOWN,
  /** No endpoint list can be trusted. */
  ENGINES_UNKNOWN,
  /** An answer would come too late to be of use. */
  TOO_LATE,
  /** A queued request could not be answered in time any more, even if it were sent at once. */
  NO_TIME_LEFT,
  /** Another attempt would exceed the retry budget. */
  RETRY_BUDGET,
  /** The queue before it is too long. */
  QUEUE_TOO_LONG,
  /** The last attempt failed, and no other is allowed or worthwhile. */
  NO_FURTHER_ATTEMPT
}
