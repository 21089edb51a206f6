package tillerlink.messages.members;

/**
 * What is told of a member. The later ones stand above the earlier at one incarnation; the order is
 * that of the numbers on the wire, and never changes.
 */
public enum MemberStatus {
  ALIVE,
  /** Somebody could not reach it, nor could those it asked. */
  SUSPECTED,
  /** Suspected for long enough without a word of its own. */
  GONE,
  /** It said itself that it goes. */
  LEFT;

  /** Whether it may still be asked and told things. */
  public boolean takesPart() {
    return this == ALIVE || this == SUSPECTED;
  }
}
