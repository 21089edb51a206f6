package tillerlink.policy;

/** What must hold of everything that is written, whatever was decided before. */
public enum Invariant {
  /** A final answer is ready within half a second after its client's time. */
  ANSWER_IN_TIME,
  /** Nothing is written for a client that disconnected over 0.1 s ago, or whose time is over. */
  CLIENT_WAITS,
  /** The time limit passed to an engine is at most what the client has left, and 0.15 s. */
  LIMIT,
  /** A request that must not run twice is not written again while an attempt may have run. */
  SINGLE_EFFECT,
  /**
   * Nothing new is written to an engine that was known to drain or to be gone for longer than the
   * grace.
   */
  DRAIN,
  /** Nothing is written later than the guard allowed. */
  WRITE_IN_TIME,
  /** What this gateway alone sends to a warming engine is below what all may send. */
  SLOW_START,
  /** Requests of a key are written in their order, one at a time. */
  ORDER,
  /** An attempt goes only where its class may run. */
  PLACEMENT,
  /** Retries stay within the retry budget. */
  RETRY_BUDGET
}
