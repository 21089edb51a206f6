package tillerlink.cluster;

import java.util.List;

/**
 * A read-only view of the fleet's members, as this gateway knows them. Every method is called on
 * the gateway's event loop and returns immediately from memory.
 */
public interface MembershipView {
  /** Returns the name of the local member, which is the same after a restart. */
  String self();

  /**
   * Returns the site of a member.
   *
   * @param name the name of any member, the local one included
   * @return the site; empty if the member is unknown
   */
  String site(String name);

  /**
   * Returns the names of all other known members in ascending order, including members that failed
   * or left.
   */
  List<String> names();

  /**
   * Returns how another member can be reached.
   *
   * @param name the name of the other member
   * @return its reachability; {@link Reachability#GONE} if the member is unknown
   */
  Reachability reachability(String name);
}
