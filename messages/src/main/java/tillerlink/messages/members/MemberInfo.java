package tillerlink.messages.members;

/**
 * One life of a member. Cards of one name are ordered by incarnation, then by birth: the greater
 * one stands.
 *
 * @param incarnation from 1 on; only the member itself raises it
 * @param birth drawn once by each process, so that two under one name are told apart
 * @param address host:port, where its messages go to; at most 100 bytes
 * @param site at most 64 bytes
 */
public record MemberInfo(long incarnation, long birth, String address, String site) {
  /** No card: what nobody was told of. */
  public static final MemberInfo NONE = new MemberInfo(0, 0, "", "");

  /** Above zero if this one stands above the other. */
  public int compare(MemberInfo other) {
    return incarnation != other.incarnation
        ? Long.compare(incarnation, other.incarnation)
        : Long.compare(birth, other.birth);
  }
}
