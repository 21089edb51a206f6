package tillerlink.messages.members;

import tillerlink.messages.Numbered;

/**
 * The status of a member. For the same incarnation, a later constant takes precedence over an
 * earlier one. The numbers are sent in messages and are part of anti-entropy digests; they never
 * change.
 */
public enum MemberStatus implements Numbered {
  /** The member is active. */
  ALIVE(0),
  /** Neither its accuser nor the members that probed it on the accuser's behalf could reach it. */
  SUSPECTED(1),
  /** It did not refute the suspicion within the suspicion timeout and was declared failed. */
  GONE(2),
  /** It announced that it was leaving. */
  LEFT(3);

  /** The highest number of a status. */
  static final int MAX_NUMBER = 3;

  private final int number;

  MemberStatus(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }

  /**
   * Returns whether the member is active, which means that it is still probed and receives gossip.
   */
  public boolean takesPart() {
    return this == ALIVE || this == SUSPECTED;
  }
}
