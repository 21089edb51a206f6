package tillerlink.statements.testing;

/** Faults that tests inject to show that a check can fail. None is on in a gateway. */
public enum InjectedFault {
  /** A voter responds before what it says is durable. */
  RESPONDS_BEFORE_DURABLE,
  /** A voter gives a second vote in a term. */
  VOTES_TWICE,
  /** A leader takes an entry of an earlier term as committed once a majority has it. */
  COMMITS_EARLIER_TERMS,
  /** A leader takes an entry as committed without a majority. */
  COMMITS_WITHOUT_MAJORITY,
  /** A gateway counts a lease from when the response came, not from before it asked. */
  COUNTS_LEASE_FROM_RESPONSE,
  /** A gateway takes one grant fewer than a majority for a lease. */
  LEASE_WITHOUT_MAJORITY,
  /** A voter grants leases on a group although a change of it is announced. */
  GRANTS_WHILE_BLOCKED,
  /** A voter confirms that it is clear of a change while a lease that it granted is valid. */
  CLEARS_TOO_EARLY,
  /** A voter that restarted confirms at once that it is clear of a change. */
  CLEARS_AFTER_RESTART,
  /** A leader puts a change into effect without a majority that is clear of it. */
  EFFECT_WITHOUT_MAJORITY,
  /** A gateway relies on its leases after a pause. */
  TRUSTS_LEASES_AFTER_PAUSE,
  /** A gateway releases leases while an attempt that runs under them is in flight. */
  RELEASES_WITH_ATTEMPTS_IN_FLIGHT,
  /** A gateway assumes that no engine still executes an attempt that ended at the gateway. */
  ASSUMES_ATTEMPTS_STOPPED,
  /** A voter with a restored disk takes part without asking the others how far it was. */
  TRUSTS_RESTORED_DISK,
  /** A follower does not compare the previous entry. */
  APPENDS_WITHOUT_CHECK
}
