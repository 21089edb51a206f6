package tillerlink.statements.testing;

/**
 * Faults that tests inject to show that the checks detect them. A gateway enables none in
 * production.
 */
public enum InjectedFault {
  /** A voter responds before the state that its response reports is durable. */
  RESPONDS_BEFORE_DURABLE,
  /** A voter votes for two candidates in one term. */
  VOTES_TWICE,
  /** A leader commits an entry of an earlier term as soon as a majority has stored it. */
  COMMITS_EARLIER_TERMS,
  /** A leader commits an entry without a majority. */
  COMMITS_WITHOUT_MAJORITY,
  /** A gateway counts a lease from the arrival of the response, not from before the request. */
  COUNTS_LEASE_FROM_RESPONSE,
  /** A gateway considers a lease valid with one grant fewer than a majority. */
  LEASE_WITHOUT_MAJORITY,
  /** A voter grants leases on a group although a change of it is announced. */
  GRANTS_WHILE_BLOCKED,
  /** A voter confirms that it is clear of a change while a lease that it granted is still valid. */
  CLEARS_TOO_EARLY,
  /**
   * A restarted voter confirms that it is clear of a change before leases that it granted earlier
   * have expired.
   */
  CLEARS_AFTER_RESTART,
  /** A leader puts a change into effect although no majority of the voters is clear of it. */
  EFFECT_WITHOUT_MAJORITY,
  /** A gateway keeps using its leases after its process was paused. */
  TRUSTS_LEASES_AFTER_PAUSE,
  /** A gateway releases leases while an attempt that runs under them is in flight. */
  RELEASES_WITH_ATTEMPTS_IN_FLIGHT,
  /** A gateway assumes that no engine still executes an attempt that ended at the gateway. */
  ASSUMES_ATTEMPTS_STOPPED,
  /**
   * A voter with a restored disk participates without first asking the others how far its log had
   * advanced.
   */
  TRUSTS_RESTORED_DISK,
  /** A follower appends entries without checking that its log matches the preceding entry. */
  APPENDS_WITHOUT_CHECK
}
