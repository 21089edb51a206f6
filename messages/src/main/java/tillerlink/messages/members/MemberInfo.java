package tillerlink.messages.members;

/**
 * A description of one incarnation of a member's process, called its card. Cards of the same name
 * are ordered by incarnation, then by birth; the greater one takes precedence.
 *
 * @param incarnation the number of the incarnation, from 1; only the member itself increments it
 * @param birth a number drawn once by each process, so that two processes of the same name can be
 *     distinguished
 * @param address the member's address for messages, as host:port; at most 100 bytes
 * @param site the member's site; at most 64 bytes
 */
public record MemberInfo(long incarnation, long birth, String address, String site) {
  /** The card of an unknown member. */
  public static final MemberInfo NONE = new MemberInfo(0, 0, "", "");

  /**
   * Compares the precedence of two cards of the same name.
   *
   * @return above zero if this card takes precedence over the other, below zero if the other takes
   *     precedence, zero if both are of the same incarnation and process
   */
  public int compare(MemberInfo other) {
    return incarnation != other.incarnation
        ? Long.compare(incarnation, other.incarnation)
        : Long.compare(birth, other.birth);
  }
}
