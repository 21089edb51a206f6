package tillerlink.messages.members;

import tillerlink.messages.Numbered;

/**
 * The status of a member. At one incarnation the later constant takes precedence over the earlier
 * one. The numbers are sent and are part of anti-entropy digests; they never change.
 */
public enum MemberStatus implements Numbered {
  /** It takes part. */
  ALIVE(0),
  /** Neither its accuser nor the members that probed it in the accuser's place could reach it. */
  SUSPECTED(1),
  /** It was suspected for long enough without refuting it: it was declared failed. */
  GONE(2),
  /** It announced itself that it leaves. */
  LEFT(3);

  /** The greatest number of a status. */
  static final int MAX_NUMBER = 3;

  private final int number;

  MemberStatus(int number) {
    this.number = number;
  }

  @Override
  public int number() {
    return number;
  }

  /** Whether the member is active: it is still probed and gossiped to. */
  public boolean takesPart() {
    return this == ALIVE || this == SUSPECTED;
  }
}
