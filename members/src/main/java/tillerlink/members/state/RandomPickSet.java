package tillerlink.members.state;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A set of members with random picks, additions and removals in constant time. The order of its
 * elements depends only on the sequence of additions and removals, so that a seeded run is
 * repeatable. A member is in at most one such set at a time.
 */
final class RandomPickSet {
  private static final int IN_NO_SET = -1;

  private final List<MemberRecord> members = new ArrayList<>();

  void add(MemberRecord member) {
    member.pickIndex = members.size();
    members.add(member);
  }

  void remove(MemberRecord member) {
    MemberRecord last = members.remove(members.size() - 1);
    if (last != member) {
      members.set(member.pickIndex, last);
      last.pickIndex = member.pickIndex;
    }
    member.pickIndex = IN_NO_SET;
  }

  boolean contains(MemberRecord member) {
    int index = member.pickIndex;
    return index >= 0 && index < members.size() && members.get(index) == member;
  }

  int size() {
    return members.size();
  }

  MemberRecord get(int index) {
    return members.get(index);
  }

  /** Returns a random member; returns null without drawing a number if the set is empty. */
  MemberRecord pick(RandomGenerator random) {
    return members.isEmpty() ? null : members.get(random.nextInt(members.size()));
  }
}
