package tillerlink.cluster;

/**
 * A component of the state that gateways share. It is driven by messages and time and sends
 * messages through a {@link MessageSender}; it does no I/O, and every method is called on the
 * gateway's event loop.
 *
 * <p>All times are tenths of a millisecond: {@code now} is monotonic and continues while the
 * process is paused; {@code wall} is the machine's clock, which may jump in both directions.
 */
public interface ClusterComponent {
  /** Handles a message of another gateway; a malformed one is counted and otherwise ignored. */
  void onMessage(long now, long wall, String from, byte[] body);

  /**
   * Does what is due. Called at the latest when {@link #nextDueAt} has come, and after the messages
   * of an event-loop iteration were handled.
   */
  void tick(long now, long wall);

  /** When {@link #tick} must be called even if no message arrives. */
  long nextDueAt();

  /**
   * This process made no progress for a while, because it or its machine was stopped. Called before
   * anything else that arrived in the meantime; no timeout that expired during the pause may be
   * trusted.
   *
   * @param duration how long the pause lasted
   */
  void onPause(long now, long wall, long duration);
}
