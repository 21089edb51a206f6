package tillerlink.members.config;

import tillerlink.cluster.Reachability;

/**
 * Is notified of changes of the membership, on the gateway's event loop and at once. It must not
 * call back into the members.
 */
public interface MembershipListener {
  /**
   * Another member can be reached in another way than before.
   *
   * @param previous how it was; {@link Reachability#GONE} also if it was not known
   * @param current how it is now
   */
  void onReachabilityChanged(String name, Reachability previous, Reachability current);

  /** A new process of a member replaced the previous one, which had not been declared failed. */
  default void onProcessReplaced(String name, long incarnation) {}

  /**
   * The local member has a new incarnation, also at the start. It should be persisted; nothing
   * breaks if it is not.
   */
  default void onOwnIncarnationChanged(long incarnation) {}

  /** Another process keeps the local member's name: this process takes part no more. */
  default void onNameLost() {}

  /** A line for the log; lines of one kind come at most every ten seconds. */
  default void log(String line) {}
}
