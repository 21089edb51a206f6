package tillerlink.faultinjection.soak;

/**
 * The rules that a soak judges, as clients, engines and the discovery service see them from
 * outside.
 */
public enum SoakRule {
  /**
   * A request that was taken gets one whole final answer, half a second after its client's time at
   * the latest.
   */
  LOST,
  /** A second final answer, or one that says served though no engine answered it. */
  ANSWER_UNTRUE,
  /**
   * What must not run twice comes to an engine again after it may have run; or, with a key, after
   * its window.
   */
  DUPLICATE,
  /** An attempt to an engine later than the grace after its drain or its end was told. */
  DRAIN,
  /**
   * A cold engine gets more than it bears, most of it from gateways that were told of its start.
   */
  SLOW_START,
  /** Two requests of a subject are out at once at a gateway, or out of order. */
  ORDER,
  /** An attempt at an engine where its class may not run. */
  PLACEMENT,
  /** More retries than the budget allows. */
  RETRY_BUDGET,
  /** An attempt that begins over 0.1 s after its client left. */
  CANCELLED,
  /** The limit passed on is more than the client has left. */
  LIMIT,
  /** A process crashed, did not end, did not come up, or says that an invariant broke. */
  INSIDE
}
