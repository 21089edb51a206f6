package tillerlink.audit;

/** The rules that every gateway obeys, in the order of their numbers. Their names are printed. */
public enum Rule {
  /**
   * Each request receives exactly one final answer by its deadline, and no attempt or answer
   * follows it.
   */
  ANSWER,
  /**
   * No request's effect happens twice, and a request that must not run twice is not rejected if it
   * may have run.
   */
  EFFECT,
  /** No attempt is sent to an engine that is draining or gone after the grace time. */
  DRAIN,
  /**
   * All gateways together do not send more work to an engine that is warming up than it can bear.
   */
  COLD,
  /**
   * Requests of one key run in the order of their acceptance if their request class requires it.
   */
  ORDER,
  /** Every attempt is sent to an engine of a kind that the request class allows. */
  PLACEMENT,
  /** The retries of a gateway stay within the retry budget of the sliding window. */
  BUDGET
}
