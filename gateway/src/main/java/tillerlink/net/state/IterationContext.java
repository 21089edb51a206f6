package tillerlink.net.state;

import java.util.ArrayDeque;

/**
 * The time of the current event-loop iteration, and the tasks that are deferred to the next one.
 * Confined to the event-loop thread.
 */
final class IterationContext {
  private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
  private long now;

  /**
   * Creates the context of the first iteration.
   *
   * @param now the time at which the gateway starts, in tenths of a millisecond
   */
  IterationContext(long now) {
    this.now = now;
  }

  /** Returns when this iteration began, in tenths of a millisecond. It never decreases. */
  long now() {
    return now;
  }

  /**
   * Sets the time of a new iteration. A clock that went back is ignored.
   *
   * @param clock the current time, in tenths of a millisecond
   */
  void advanceTo(long clock) {
    now = Math.max(now, clock);
  }

  /** Runs a task at the beginning of the next iteration. */
  void runInNextIteration(Runnable task) {
    deferredTasks.add(task);
  }

  /** Returns whether tasks are deferred, which makes the next iteration due immediately. */
  boolean hasDeferredTasks() {
    return !deferredTasks.isEmpty();
  }

  /** Runs the deferred tasks. Tasks that these defer in turn wait for the next iteration. */
  void runDeferredTasks() {
    for (int i = deferredTasks.size(); i > 0; i--) {
      deferredTasks.poll().run();
    }
  }
}
