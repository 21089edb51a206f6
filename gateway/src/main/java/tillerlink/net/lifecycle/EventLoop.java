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

/** The loop of the one thread that owns policy and state, and the queue of its events. */
final class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final int MAX_EVENTS = 256;
  private static final long MIN_PAUSE = 100 * Units.TENTHS_PER_MS;
  private static final long CATCH_UP = 20 * Units.TENTHS_PER_MS;

  final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
  private final LongSupplier clock;

  EventLoop(LongSupplier clock) {
    this.clock = clock;
  }

  /** Runs iterations until {@code done}. */
  void run(Gateway gateway, BooleanSupplier done) throws InterruptedException {
    while (!done.getAsBoolean()) {
      long dueAt = gateway.dueAt();
      Runnable first = await(dueAt - clock.getAsLong());
      // Guards against taking a pause of this machine for a silent engine: what engines said
      // meanwhile may
      // still be unread, and is heard before anything that is due.
      if (first == null && clock.getAsLong() > dueAt + MIN_PAUSE) {
        first = await(CATCH_UP);
      }
      iterate(gateway, first);
    }
  }

  /** Runs an iteration if an event has come or something is due; waits for nothing. */
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

  private Runnable await(long tenths) throws InterruptedException {
    return tenths <= 0
        ? queue.poll()
        : queue.poll(tenths * WallClock.NANOS_PER_TENTH, TimeUnit.NANOSECONDS);
  }

  /**
   * One event that fails takes nothing else with it: also one whose classes can't be read any more,
   * since the jar was replaced under the process, or that went too deep. Other errors say that the
   * process is at its end.
   */
  private static void runSafely(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException | LinkageError | StackOverflowError e) {
      LOG.error("internal error; the gateway continues", e);
    }
  }
}
