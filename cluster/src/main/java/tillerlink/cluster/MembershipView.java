package tillerlink.cluster;

import java.util.List;

/**
 * What this gateway knows of the members of its fleet. Every method is called on the gateway's
 * event loop and answers at once from memory.
 */
public interface MembershipView {
  /** The name of the local member; it survives a restart. */
  String self();

  /** The site of a member, the local one included; empty if the member is not known. */
  String site(String name);

  /** The names of all other known members in ascending order, failed and departed ones included. */
  List<String> names();

  /** How another member can be reached; {@link Reachability#GONE} if it is not known. */
  Reachability reachability(String name);
}
