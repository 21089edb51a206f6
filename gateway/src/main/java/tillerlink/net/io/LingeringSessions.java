package tillerlink.net.io;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.mina.core.session.IoSession;

/**
 * The connections whose output was shut down while their input may still be open. Each is closed
 * after a while unless its peer closes it before. Thread-safe.
 */
final class LingeringSessions {
  /** The time for which a connection is still read after its output was shut down. */
  private static final long LINGER_NANOS = 1_000_000_000;

  /**
   * A connection whose output was shut down.
   *
   * @param closeAtNanos when it is closed, as a value of {@link System#nanoTime}
   */
  private record Lingering(IoSession session, long closeAtNanos) {}

  private final Queue<Lingering> sessions = new ConcurrentLinkedQueue<>();
  private final ReadProcessor processor;

  LingeringSessions(ReadProcessor processor) {
    this.processor = processor;
  }

  /** Shuts down the output of a connection, on which all writes are complete. */
  void shutdownOutput(IoSession session) {
    processor.runOnProcessorThread(() -> processor.shutdownOutput(session));
    Lingering lingering = new Lingering(session, System.nanoTime() + LINGER_NANOS);
    sessions.add(lingering);
    // A session that has closed is not kept until then, with all that its owner holds. The listener
    // is called at once if it closed before.
    session.getCloseFuture().addListener(closed -> sessions.remove(lingering));
  }

  /** Closes the connections that have lingered for long enough. */
  void closeOverdue() {
    long now = System.nanoTime();
    for (Lingering oldest = sessions.peek();
        oldest != null && now - oldest.closeAtNanos >= 0;
        oldest = sessions.peek()) {
      sessions.remove(oldest);
      oldest.session.closeNow();
    }
  }
}
