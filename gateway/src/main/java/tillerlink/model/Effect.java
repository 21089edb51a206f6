package tillerlink.model;

/**
 * What executing a request of a request class a second time would do. The operator's file names
 * these constants.
 */
public enum Effect {
  /** Nothing: it may be executed again. */
  PURE,
  /** It has an idempotency key by which a group of engines discards a repeat, for a time. */
  RECEIPTED,
  /** It must never be executed twice. */
  EFFECTFUL
}
