package tillerlink.port;

/** The degree to which the endpoint list may be trusted for new attempts. */
public enum EndpointListState {
  /**
   * An answer of the discovery service confirmed the list, and no newer list can have been in force
   * for longer than the grace.
   */
  CONFIRMED,
  /** A newer list may be in force, and an answer is expected soon. New attempts wait. */
  AWAITED,
  /**
   * The discovery service appears to be down. In an outage no gateway is notified of a newer list,
   * so the last list is used for a limited time.
   */
  DEGRADED,
  /**
   * The last list is older than the longest time for which an event may remain unnoticed. New
   * requests are rejected.
   */
  EXPIRED
}
