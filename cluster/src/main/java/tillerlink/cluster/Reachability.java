package tillerlink.cluster;

/**
 * The reachability of another member of the fleet, as far as this gateway knows. The names of the
 * constants are part of the operators' HTTP interface, so they must not change.
 */
public enum Reachability {
  /** The member answered this gateway's own probes recently. */
  REACHABLE,
  /** The member does not answer this gateway, but other reachable members can reach it. */
  THROUGH_OTHERS,
  /**
   * No member reached it recently, so it is suspected to have failed; it may still refute the
   * suspicion.
   */
  SUSPECTED,
  /** The member was declared failed; it returns only with a higher incarnation of its own. */
  GONE,
  /** The member announced that it left the fleet. */
  LEFT;

  /** Returns whether messages to the member may still arrive and should be sent. */
  public boolean isContactable() {
    return this == REACHABLE || this == THROUGH_OTHERS || this == SUSPECTED;
  }
}
