package tillerlink.cluster;

import java.util.List;

/** Who is there. Asked in a turn of the thread that owns all state; never waits. */
public interface MembershipView {
  /** The own name, the same after a restart. */
  String self();

  /** The site of a member, the own one too; empty if it is not known. */
  String site(String name);

  /** All others that are known, gone and left ones too, in the order of their names. */
  List<String> names();

  /** {@link Reachability#GONE} for one that is not known. */
  Reachability reachability(String name);
}
