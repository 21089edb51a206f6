package tillerlink.members.config;

import tillerlink.cluster.Reachability;

/**
 * Is told, in the turn in which it happens, what changes among the members. It must not call back
 * into them.
 */
public interface MembershipListener {
  /**
   * @param was what it was; {@link Reachability#GONE} also for one that was not known
   */
  void onReachabilityChanged(String name, Reachability was, Reachability is);

  /** A process of that name took over from an earlier one, without that having been given up. */
  default void onProcessReplaced(String name, long incarnation) {}

  /**
   * The own incarnation rose, or was found at the start: to be kept, though nothing breaks if it is
   * not.
   */
  default void onOwnIncarnationChanged(long own) {}

  /** Another process has the own name, and keeps it: this one takes part no more. */
  default void onNameLost() {}

  /** A line for the log; lines of one kind come at most every ten seconds. */
  default void log(String words) {}
}
