package tillerlink.cluster;

/**
 * A part of the state that gateways share: it is fed messages and time, and gives out messages
 * through {@link MessageSender}. It does no I/O, and one thread owns it. Times are tenths of a
 * millisecond: {@code now} never goes back and goes on while the process is paused; {@code wall} is
 * the machine's clock, which may jump either way.
 */
public interface ClusterComponent {
  /** A message of another gateway; one that can't be read costs no more than a counter. */
  void onMessage(long now, long wall, String from, byte[] body);

  /**
   * What is due is done; called at least when {@link #nextDueAt} has come, and after what came in a
   * turn.
   */
  void tick(long now, long wall);

  /** When a turn is due though nothing comes. */
  long nextDueAt();

  /**
   * This process did nothing for so long (it was stopped, or its machine was): told before anything
   * else that came meanwhile. Nothing of its own that ran out meanwhile may be trusted.
   */
  void onPause(long now, long wall, long lasted);
}
