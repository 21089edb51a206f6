package tillerlink.messages.members;

/**
 * The status of a member. At one incarnation the later constant takes precedence over the earlier
 * one. The numbers are sent and are part of anti-entropy digests; they never change.
 */
public enum MemberStatus {
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

  /** The number that is sent and that goes into digests. */
  public int number() {
    return number;
  }

  /** The status of a number from 0 to {@link #MAX_NUMBER}. */
  static MemberStatus ofNumber(int number) {
    return switch (number) {
      case 0 -> ALIVE;
      case 1 -> SUSPECTED;
      case 2 -> GONE;
      case MAX_NUMBER -> LEFT;
      default -> throw new IllegalArgumentException("no status has the number " + number);
    };
  }

  /** Whether the member is active: it is still probed and gossiped to. */
  public boolean takesPart() {
    return this == ALIVE || this == SUSPECTED;
  }
}
