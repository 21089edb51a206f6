package tillerlink.model;

/** What running a request of a request class a second time would do. */
public enum Effect {
  /** Running it again is fine. */
  PURE,
  /** It bears a mark by which a group of engines discards a repeat, for a time. */
  RECEIPTED,
  /** It must never run twice. */
  EFFECTFUL
}
