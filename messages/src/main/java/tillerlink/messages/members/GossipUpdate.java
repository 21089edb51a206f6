package tillerlink.messages.members;

/**
 * What is gossiped of a member.
 *
 * @param name at most 64 bytes
 * @param status the member's status
 * @param card the incarnation that the status is of
 * @param accuser who suspects the member or declared it failed; empty if its word is its own
 * @param age tenths of a millisecond since its last sign of life if it is alive, since its status
 *     changed otherwise; each member that passes the update on adds the time that it kept it
 */
public record GossipUpdate(
    String name, MemberStatus status, MemberInfo card, String accuser, long age) {
  /** The same update, older by that time. */
  public GossipUpdate agedBy(long time) {
    return new GossipUpdate(name, status, card, accuser, age + time);
  }
}
