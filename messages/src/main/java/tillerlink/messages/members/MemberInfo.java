package tillerlink.messages.members;

/**
 * A member's card: one incarnation of one of its processes. Cards of one name are ordered by
 * incarnation, then by birth; the greater one takes precedence.
 *
 * @param incarnation from 1 on; only the member itself raises it
 * @param birth drawn once by each process, so that two processes of one name are told apart
 * @param address host:port, where messages to the member go; at most 100 bytes
 * @param site at most 64 bytes
 */
public record MemberInfo(long incarnation, long birth, String address, String site) {
  /** The card of a member that is not known. */
  public static final MemberInfo NONE = new MemberInfo(0, 0, "", "");

  /** Above zero if this card takes precedence over the other, below zero if the other does. */
  public int compare(MemberInfo other) {
    return incarnation != other.incarnation
        ? Long.compare(incarnation, other.incarnation)
        : Long.compare(birth, other.birth);
  }
}
