package tillerlink.faultinjection.audit;

/** The rules that {@link Audit} checks from the observations of clients and engines. */
public enum Rule {
  /** A request has at most one final response, and exactly one if its gateway ran throughout. */
  ONE_ANSWER,
  /** A request with side effects runs at most once. */
  RUN_TWICE,
  /** A request that was rejected as never executed did not run; one that succeeded ran. */
  ANSWER_UNTRUE,
  /** An accepted append is in every gateway's log exactly once at the end of the run. */
  APPEND_LOST,
  /** All gateways report the same content for an event id. */
  TWO_CONTENTS,
  /** An entry that was reported as stable keeps its place, at every gateway. */
  STABLE_CHANGED,
  /** All gateways have the same log at the end of the run. */
  LOGS_DIFFER,
  /** After the load has ended, all entries become stable and all prepared statements run. */
  NOT_SETTLED,
  /** A repeated append with the same idempotency key at the same gateway returns the same event. */
  KEY_TWICE,
  /** The appends that one gateway accepted keep their order in the log. */
  ORDER_OF_CAUSE,
  /** No statement that was prepared under an older schema runs after a change is in effect. */
  OLD_SCHEMA,
  /** The generation of a statement never decreases, and no generation has two texts. */
  GENERATION_FELL,
  /** Before and after the faults, every gateway reports every other one as reachable. */
  NOT_TOGETHER,
  /** No process reports a violated invariant, crashes or fails to start. */
  INSIDE
}
