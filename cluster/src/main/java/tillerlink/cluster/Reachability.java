package tillerlink.cluster;

/**
 * How another member of the fleet can be reached, as far as this gateway knows. The names of the
 * constants are part of the HTTP interface for operators.
 */
public enum Reachability {
  /** It answered this gateway's own probes recently. */
  REACHABLE,
  /** It does not answer this gateway, but members that do answer can reach it. */
  THROUGH_OTHERS,
  /** Nobody reached it recently; it may still refute the suspicion. */
  SUSPECTED,
  /** It was declared failed; only a higher incarnation of its own brings it back. */
  GONE,
  /** It announced itself that it leaves. */
  LEFT;

  /** Whether messages to the member are worth sending. */
  public boolean isContactable() {
    return this == REACHABLE || this == THROUGH_OTHERS || this == SUSPECTED;
  }
}
