package tillerlink.faultinjection.soak;

/**
 * The rules that a soak judges, as clients, engines and the discovery service see them from
 * outside.
 */
public enum SoakRule {
  /**
   * An accepted request gets a complete final response, at most half a second after its deadline.
   */
  LOST,
  /** A second final response, or a success without a response of an engine. */
  ANSWER_UNTRUE,
  /**
   * A request that must not run twice reaches an engine again after it may have run; with a key,
   * after its window.
   */
  DUPLICATE,
  /** An attempt at an engine after the grace period since its drain or end was announced. */
  DRAIN,
  /**
   * A cold engine gets more than its slow-start capacity, mostly from gateways that knew its start.
   */
  SLOW_START,
  /** Two requests of one subject are in flight at a gateway at once, or out of order. */
  ORDER,
  /** An attempt at an engine where its class may not run. */
  PLACEMENT,
  /** More retries than the budget allows. */
  RETRY_BUDGET,
  /** An attempt that begins more than 0.1 s after its client disconnected. */
  CANCELLED,
  /** The time limit of an attempt is more than the client has left. */
  LIMIT,
  /** A process crashed, did not end, did not start, or reports a violated invariant. */
  INSIDE
}
