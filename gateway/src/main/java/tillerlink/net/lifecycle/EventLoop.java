package tillerlink.net.lifecycle;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.net.state.Gateway;
import tillerlink.plain.Units;

/**
 * The event loop of the single thread that owns the dispatch policy and the gateway's state, with
 * the queue of its events.
 */
final class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  /** The maximum number of events in one iteration. */
  private static final int MAX_EVENTS = 256;

  /**
   * The delay after which the process is assumed to have been paused, in tenths of a millisecond.
   */
  private static final long MIN_PAUSE_TENTHS = 100 * Units.TENTHS_PER_MS;

  /** The time to wait for pending input after a pause, in tenths of a millisecond. */
  private static final long CATCH_UP_TENTHS = 20 * Units.TENTHS_PER_MS;

  final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
  private final LongSupplier clock;

  EventLoop(LongSupplier clock) {
    this.clock = clock;
  }

  /** Runs iterations until {@code done} returns true. */
  void run(Gateway gateway, BooleanSupplier done) throws InterruptedException {
    while (!done.getAsBoolean()) {
      long dueAt = gateway.dueAt();
      Runnable first = await(dueAt - clock.getAsLong());
      // Guards against mistaking a pause of this machine for a silent engine: responses that
      // arrived during the pause may still be unread, so they are processed before any task that is
      // due.
      if (first == null && clock.getAsLong() > dueAt + MIN_PAUSE_TENTHS) {
        first = await(CATCH_UP_TENTHS);
      }
      iterate(gateway, first);
    }
  }

  /** Runs an iteration if an event is queued or a task is due; never blocks. */
  void runIfDue(Gateway gateway) {
    Runnable first = queue.poll();
    if (first != null || clock.getAsLong() >= gateway.dueAt()) {
      iterate(gateway, first);
    }
  }

  private void iterate(Gateway gateway, Runnable first) {
    runSafely(() -> gateway.beginIteration(clock.getAsLong()));
    int events = 0;
    for (Runnable event = first;
        event != null;
        event = ++events < MAX_EVENTS ? queue.poll() : null) {
      runSafely(event);
    }
    runSafely(gateway::endIteration);
  }

  /**
   * Waits for the next event.
   *
   * @param tenths the longest wait, in tenths of a millisecond; does not block if it is not
   *     positive
   * @return the event, or null if none was queued in that time
   */
  private Runnable await(long tenths) throws InterruptedException {
    return tenths <= 0
        ? queue.poll()
        : queue.poll(tenths * WallClock.NANOS_PER_TENTH, TimeUnit.NANOSECONDS);
  }

  /**
   * Runs an event and logs its failure, so that one failing event does not stop the gateway. This
   * includes an event whose classes cannot be loaded because the jar was replaced while the process
   * runs, and one whose recursion is too deep. Any other {@link Error} means that the process
   * cannot continue, so it propagates.
   */
  private static void runSafely(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException | LinkageError | StackOverflowError e) {
      LOG.error("internal error; the gateway continues", e);
    }
  }
}
