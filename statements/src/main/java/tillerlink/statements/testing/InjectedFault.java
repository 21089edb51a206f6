package tillerlink.statements.testing;

/** Faults that tests plant to show that a check can fail. None is on in a gateway. */
public enum InjectedFault {
  /** A voter answers before its disk has kept what it says. */
  ANSWERS_BEFORE_KEPT,
  /** A voter gives a second vote in a term. */
  VOTES_TWICE,
  /** A leader takes an entry of an earlier term for committed once a majority has it. */
  COMMITS_OLD_TERMS,
  /** A leader takes an entry for committed without a majority. */
  COMMITS_ALONE,
  /** A gateway counts a lease from when the answer came. */
  COUNTS_FROM_ANSWER,
  /** A gateway takes one grant fewer than a majority for a lease. */
  LEASE_OF_A_MINORITY,
  /** A voter grants for a group although a change is announced. */
  GRANTS_WHILE_BLOCKED,
  /** A voter says that it is clear while a lease that it granted is alive. */
  CLEARS_TOO_EARLY,
  /** A voter that started again says at once that it is clear. */
  CLEARS_AFTER_START,
  /** A leader lets a change take effect without a majority that is clear. */
  EFFECT_UNASKED,
  /** A gateway trusts its leases after a pause. */
  TRUSTS_AFTER_PAUSE,
  /** A gateway gives leases back though an attempt that runs under them is out. */
  GIVES_BACK_WITH_ATTEMPTS_OUT,
  /** A gateway takes every attempt that is over here for one that its engine is no longer at. */
  TRUSTS_ENDINGS,
  /** A voter from an old disk takes part without asking what others saw of it. */
  TRUSTS_OLD_DISK,
  /** A follower doesn't compare the entry before. */
  APPENDS_UNCOMPARED
}
