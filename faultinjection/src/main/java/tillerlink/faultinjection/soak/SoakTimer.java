package tillerlink.faultinjection.soak;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs actions after a delay, on daemon threads. */
final class SoakTimer implements AutoCloseable {
  private static final int THREADS = 4;

  private final ScheduledExecutorService executor =
      new ScheduledThreadPoolExecutor(THREADS, SoakTimer::daemon);

  private static Thread daemon(Runnable work) {
    Thread thread = new Thread(work, "soak-timer");
    thread.setDaemon(true);
    return thread;
  }

  /** Runs an action after a delay in milliseconds. */
  void after(double delayMs, Runnable action) {
    Future<?> unused =
        executor.schedule(() -> runAndReport(action), (long) delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs an action, and passes its exception to the thread's handler. An exception is a bug of the
   * harness, and would otherwise be lost in the unused future.
   */
  private static void runAndReport(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      Thread thread = Thread.currentThread();
      thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
