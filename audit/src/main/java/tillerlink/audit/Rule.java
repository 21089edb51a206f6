package tillerlink.audit;

/** The rules that every front keeps, by their numbers. */
public enum Rule {
  /** One final answer each, in time, nothing after. */
  ANSWER,
  /** No effect twice, and no turn-back of what may have run and must not run twice. */
  EFFECT,
  /** No new work to draining or gone engines past the grace. */
  DRAIN,
  /** A cold engine isn't pushed over by all gateways together. */
  COLD,
  /** Key order where a request class asks for it. */
  ORDER,
  /** Placement on every attempt. */
  PLACEMENT,
  /** Further attempts within the sliding budget. */
  BUDGET
}
