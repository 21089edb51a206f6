package tillerlink.faultinjection.audit;

/** The rules, as clients and engines see them from outside. */
public enum Rule {
  /** A request has at most one final response, and exactly one if its gateway ran all the time. */
  ONE_ANSWER,
  /** A request with effects runs at most once. */
  RUN_TWICE,
  /** A request that was rejected as never executed did not run; one that succeeded ran. */
  ANSWER_UNTRUE,
  /** An accepted append is in every log exactly once in the end. */
  APPEND_LOST,
  /** No id has two contents. */
  TWO_CONTENTS,
  /** An entry that was reported as stable keeps its place, at every gateway. */
  STABLE_CHANGED,
  /** In the end every gateway has the same log. */
  LOGS_DIFFER,
  /** At rest all entries are stable. */
  NOT_SETTLED,
  /** The same idempotency key at the same gateway gives the same event. */
  KEY_TWICE,
  /** The appends of one writer keep their order. */
  ORDER_OF_CAUSE,
  /** No statement that was prepared under an older schema runs after a change is in effect. */
  OLD_SCHEMA,
  /** The generation of a name never decreases, and no generation has two texts. */
  GENERATION_FELL,
  /** At rest every gateway reports every other as reachable. */
  NOT_TOGETHER,
  /** No process reports a violated invariant or a crash. */
  INSIDE
}
