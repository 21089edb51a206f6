package tillerlink.faultinjection.soak;

/**
 * The rules that a soak run checks from the observations of clients, engines and the discovery
 * service.
 */
public enum SoakRule {
  /**
   * Violated by an accepted request without a complete final response within half a second after
   * its deadline.
   */
  LOST,
  /**
   * Violated by a second final response, a success that no engine answered, or a refusal of a
   * request that may have run and must not run twice.
   */
  ANSWER_UNTRUE,
  /**
   * Violated by a request that must not run twice and reaches an engine again after it may have
   * run. With deduplication by key, that is allowed within the deduplication window.
   */
  DUPLICATE,
  /** Violated by an attempt at an engine later than the grace period after its drain or removal. */
  DRAIN,
  /**
   * Violated by more attempts at a cold engine than its slow-start capacity, most of them from
   * gateways that knew of its start.
   */
  SLOW_START,
  /** Violated by two requests of one subject in flight at a gateway at once, or out of order. */
  ORDER,
  /** Violated by an attempt at an engine where its request class may not run. */
  PLACEMENT,
  /** Violated by more retries than the retry budget allows. */
  RETRY_BUDGET,
  /** Violated by an attempt that begins more than 0.1 s after the client disconnected. */
  CANCELLED,
  /** Violated by an attempt with a time limit beyond the deadline of its request. */
  LIMIT,
  /** Violated by a process that crashes, does not start or end, or reports a broken invariant. */
  INSIDE
}
