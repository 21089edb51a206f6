package tillerlink.model;

/**
 * The effect of executing a request of a request class a second time. The operator's configuration
 * file uses the names of these constants.
 */
public enum Effect {
  /** A second execution has no effect: the request may be executed again. */
  PURE,
  /**
   * The request has an idempotency key, by which the engines of its deduplication group discard
   * repeats within the deduplication window.
   */
  RECEIPTED,
  /** The request must never be executed twice. */
  EFFECTFUL
}
