package tillerlink.audit;

/** The rules that every gateway keeps, in the order of their numbers. Their names are printed. */
public enum Rule {
  /** Each request has one final answer, in time, and nothing after it. */
  ANSWER,
  /** No effect happens twice, and what may have run and must not run twice is not rejected. */
  EFFECT,
  /** No new work is sent to draining or gone engines after the grace time. */
  DRAIN,
  /** All gateways together send an engine that is warming up no more than it can bear. */
  COLD,
  /** Requests of one key run in their order where the request class asks for it. */
  ORDER,
  /** Every attempt goes to an engine that the request class is bound to. */
  PLACEMENT,
  /** Retries stay within the sliding budget. */
  BUDGET
}
