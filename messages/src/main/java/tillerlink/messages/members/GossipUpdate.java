package tillerlink.messages.members;

/**
 * The status of a member as it is spread by gossip.
 *
 * @param name the member's name; at most 64 bytes
 * @param status the member's status
 * @param card the incarnation of the member that the status refers to
 * @param accuser the member that suspects this one or declared it failed; empty if the member
 *     reported the status itself
 * @param age the time in tenths of a millisecond since the member last showed activity if it is
 *     alive, otherwise since its status changed; each member that forwards the update adds the time
 *     for which it stored it
 */
public record GossipUpdate(
    String name, MemberStatus status, MemberInfo card, String accuser, long age) {
  /** Returns this update with an age increased by {@code duration} tenths of a millisecond. */
  public GossipUpdate agedBy(long duration) {
    return new GossipUpdate(name, status, card, accuser, age + duration);
  }
}
