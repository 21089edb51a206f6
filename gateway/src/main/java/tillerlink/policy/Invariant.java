package tillerlink.policy;

/** Rules that every write must satisfy, whatever was decided before. */
public enum Invariant {
  /** A final answer is ready no later than 0.5 s after its client stops waiting. */
  ANSWER_IN_TIME,
  /**
   * Nothing is written for a client that disconnected more than 0.1 s ago or has stopped waiting.
   */
  CLIENT_WAITS,
  /** The time limit passed to an engine exceeds the client's remaining time by at most 0.15 s. */
  LIMIT,
  /**
   * A request that must not run twice is not written again while an earlier attempt may have run.
   */
  SINGLE_EFFECT,
  /**
   * No new attempt is written to an engine that has been known for longer than the grace to drain
   * or to have left the endpoint list.
   */
  DRAIN,
  /** Nothing is written later than the send guard allowed. */
  WRITE_IN_TIME,
  /**
   * The work that this gateway alone sends to a warming engine is below the limit for all gateways.
   */
  SLOW_START,
  /** Requests of a key are written in their order, one at a time. */
  ORDER,
  /** An attempt is written only to an engine on which its request class may run. */
  PLACEMENT,
  /** Retries stay within the retry budget. */
  RETRY_BUDGET
}
