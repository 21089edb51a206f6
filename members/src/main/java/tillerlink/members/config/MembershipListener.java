package tillerlink.members.config;

import tillerlink.cluster.Reachability;

/**
 * Listener for membership changes. It is called synchronously on the gateway's event loop and must
 * not call back into the membership component.
 */
public interface MembershipListener {
  /**
   * Handles a change of another member's reachability.
   *
   * @param name the name of the member
   * @param previous the previous reachability; {@link Reachability#GONE} also if the member was
   *     unknown
   * @param current the current reachability
   */
  void onReachabilityChanged(String name, Reachability previous, Reachability current);

  /**
   * Handles the replacement of a member's process by a new one, when the previous process had not
   * been declared failed.
   *
   * @param name the name of the member
   * @param incarnation the incarnation of the new process
   */
  default void onProcessReplaced(String name, long incarnation) {}

  /**
   * Handles a new incarnation of the local member, including the first one at the start. The
   * incarnation should be persisted; the protocol stays correct if it is not.
   */
  default void onOwnIncarnationChanged(long incarnation) {}

  /**
   * Handles the loss of the local member's name to another process. This process is not a member
   * any more.
   */
  default void onNameLost() {}

  /** Logs a line. At most one line of each kind is passed to this method in ten seconds. */
  default void log(String line) {}
}
