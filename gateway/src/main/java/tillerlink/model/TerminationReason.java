package tillerlink.model;

/** Why the policy gave a request up; for logs and counters. */
public enum TerminationReason {
  /** The process ends and can't wait any longer. */
  SHUTDOWN,
  /** No endpoint list can be trusted. */
  ENGINES_UNKNOWN,
  /** An answer would come too late to be of use. */
  TOO_LATE,
  /** What waits could not be answered in time any more, even if it were sent at once. */
  NO_TIME_LEFT,
  /** Another attempt would exceed the retry budget. */
  RETRY_BUDGET,
  /** Too much waits before it. */
  QUEUE_TOO_LONG,
  /** The last attempt failed, and no other is allowed or worth it. */
  NO_FURTHER_ATTEMPT
}
