package tillerlink.cluster;

/** How another member of the fleet stands, as this gateway knows it. */
public enum Reachability {
  /** Heard straight from it of late. */
  REACHABLE,
  /** Not heard straight, but others that are heard reach it. */
  THROUGH_OTHERS,
  /** Nobody reached it of late; it may still say that it lives. */
  SUSPECTED,
  /** Given up; it comes back only by its own word. */
  GONE,
  /** It said itself that it goes. */
  LEFT;

  /** Whether messages to it are worth sending. */
  public boolean isContactable() {
    return this == REACHABLE || this == THROUGH_OTHERS || this == SUSPECTED;
  }
}
