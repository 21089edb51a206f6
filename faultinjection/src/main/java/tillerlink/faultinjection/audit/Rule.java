package tillerlink.faultinjection.audit;

/** What must hold, as clients and engines see it from outside. */
public enum Rule {
  /** A request has one last answer, and it has one if its gateway was there all the time. */
  ONE_ANSWER,
  /** What has effects runs once at most. */
  RUN_TWICE,
  /** What was rejected as never run did not run; what was succeeded ran. */
  ANSWER_UNTRUE,
  /** An append that was taken is in every log in the end, once. */
  APPEND_LOST,
  /** No id stands for two contents. */
  TWO_CONTENTS,
  /** What was told as stable at a place is told so at that place for ever, by every gateway. */
  STABLE_CHANGED,
  /** In the end every gateway has the same log. */
  LOGS_DIFFER,
  /** At rest nothing is outstanding: all that is in the logs is stable. */
  NOT_SETTLED,
  /** The same key at the same gateway gives the same event. */
  KEY_TWICE,
  /** What a writer appended after another of its own stands behind it. */
  ORDER_OF_CAUSE,
  /** Nothing that was prepared under an older schema is run after a change was seen in effect. */
  OLD_SCHEMA,
  /** A name's generation never falls, and no generation has two texts. */
  GENERATION_FELL,
  /** At rest every gateway says of every other that it reaches it. */
  NOT_TOGETHER,
  /** Nothing inside a process broke. */
  INSIDE
}
