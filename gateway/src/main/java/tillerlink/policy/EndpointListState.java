package tillerlink.policy;

/** How far the endpoint list may be trusted for new attempts. */
public enum EndpointListState {
  /** An answer confirmed it, and nothing newer can have been in force for longer than the grace. */
  CONFIRMED,
  /** Something newer may be in force; an answer is expected soon. New attempts wait. */
  AWAITED,
  /**
   * The discovery service seems to be down: nobody was notified of anything newer, so the last list
   * is used for a while.
   */
  DEGRADED,
  /** The last list is older than any event may remain unnoticed. New requests are rejected. */
  EXPIRED
}
