package tillerlink.net.state;

import java.util.ArrayDeque;

/**
 * The time of the event-loop iteration that is running, and the tasks that wait for the next one.
 * Owned by the event-loop thread.
 */
final class IterationContext {
  private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
  private long now;

  /**
   * @param now when the gateway starts, in tenths of a millisecond
   */
  IterationContext(long now) {
    this.now = now;
  }

  /** When this iteration began, in tenths of a millisecond; it never goes back. */
  long now() {
    return now;
  }

  /** An iteration begins; a clock that went back is not followed. */
  void advanceTo(long clock) {
    now = Math.max(now, clock);
  }

  /** Runs a task at the beginning of the next iteration. */
  void runInNextIteration(Runnable task) {
    deferredTasks.add(task);
  }

  /** Whether tasks wait, so that the next iteration is due at once. */
  boolean hasDeferredTasks() {
    return !deferredTasks.isEmpty();
  }

  /** Runs what was deferred up to now; what these tasks defer waits for the next iteration. */
  void runDeferredTasks() {
    for (int i = deferredTasks.size(); i > 0; i--) {
      deferredTasks.poll().run();
    }
  }
}
