package tillerlink.cluster;

/**
 * A component of the state that gateways share. It is driven by incoming messages and by the
 * passage of time, and sends messages through a {@link MessageSender}. It does no I/O, and every
 * method is called on the gateway's event loop.
 *
 * <p>All times are tenths of a millisecond. {@code now} is monotonic and advances while the process
 * is paused; {@code wall} is the machine's wall clock, which may jump in both directions.
 */
public interface ClusterComponent {
  /**
   * Handles a message from another gateway. A malformed message is counted and otherwise ignored.
   *
   * @param now the monotonic time, in tenths of a millisecond
   * @param wall the wall clock, in tenths of a millisecond
   * @param from the name of the sending member
   * @param body the message without its envelope
   */
  void onMessage(long now, long wall, String from, byte[] body);

  /**
   * Runs the tasks that are due. The event loop calls this no later than {@link #nextDueAt}, and
   * after it has handled the messages of an iteration.
   *
   * @param now the monotonic time, in tenths of a millisecond
   * @param wall the wall clock, in tenths of a millisecond
   */
  void tick(long now, long wall);

  /**
   * Returns the time at which {@link #tick} must be called even if no message arrives, in tenths of
   * a millisecond.
   */
  long nextDueAt();

  /**
   * Handles a pause of this process: it made no progress for a while, because it or its machine was
   * stopped. The event loop calls this before it handles anything that arrived during the pause. A
   * timeout that expired during the pause must not be trusted, because answers may have arrived and
   * not been read yet.
   *
   * @param now the monotonic time, in tenths of a millisecond
   * @param wall the wall clock, in tenths of a millisecond
   * @param duration the length of the pause, in tenths of a millisecond
   */
  void onPause(long now, long wall, long duration);
}
