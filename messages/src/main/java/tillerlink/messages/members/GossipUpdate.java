package tillerlink.messages.members;

/**
 * What is told on of a member.
 *
 * @param name at most 64 bytes
 * @param standing how it stands
 * @param card the life that this is about
 * @param by who suspects it, or gave it up; empty if it says so itself
 * @param age tenths of a millisecond since its last sign of life if it is alive, since it changed
 *     otherwise: each who tells it on adds the time it lay there
 */
public record GossipUpdate(
    String name, MemberStatus status, MemberInfo card, String accuser, long age) {}
