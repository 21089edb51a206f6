package tillerlink.peering;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import tillerlink.peering.component.HostedComponent;

/**
 * Runs the components within the gateway's event loop. Passes the current time to them and, after a
 * pause of the process, notifies them of the pause before any other call. All methods except {@link
 * #post} are called by the event loop's thread. Times are tenths of a millisecond.
 */
final class ComponentLoop {
  private static final long TENTHS_PER_MS = 10;

  /** The longest time between two iterations of an idle loop, so that pauses are detected. */
  private static final long HEARTBEAT_INTERVAL = 1000;

  /**
   * A gap between two iterations that exceeds {@link #HEARTBEAT_INTERVAL} by more than this is
   * reported as a pause of the process.
   */
  private static final long MIN_PAUSE = 2000;

  private final Consumer<Runnable> eventLoop;
  private final LongSupplier clock;
  private final Watchdog watchdog;
  private final List<HostedComponent> components = new ArrayList<>();
  private long now;

  /** True if a call may have reached a component since the last tick. */
  private boolean tickDue = true;

  /**
   * Creates a loop without components.
   *
   * @param eventLoop runs tasks on the event loop's thread, from any thread
   * @param clock a monotonic clock in tenths of a millisecond that advances while the process is
   *     stopped
   */
  ComponentLoop(Consumer<Runnable> eventLoop, LongSupplier clock, Watchdog watchdog) {
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.watchdog = watchdog;
    now = clock.getAsLong();
  }

  /**
   * Returns the time that is passed to the components.
   *
   * @return tenths of a millisecond; never less than an earlier result
   */
  long now() {
    return now;
  }

  /** Returns the wall-clock time in tenths of a millisecond since 1970. */
  static long wallTime() {
    return System.currentTimeMillis() * TENTHS_PER_MS;
  }

  void add(HostedComponent component) {
    components.add(component);
  }

  /** Returns the component with the given message number, if there is one. */
  Optional<HostedComponent> findByNumber(int number) {
    for (HostedComponent component : components) {
      if (component.number() == number) {
        return Optional.of(component);
      }
    }
    return Optional.empty();
  }

  /** Returns the component that handles requests for the given path, if there is one. */
  Optional<HostedComponent> findByPath(String path) {
    for (HostedComponent component : components) {
      if (component.handlesPath(path)) {
        return Optional.of(component);
      }
    }
    return Optional.empty();
  }

  void forEach(Consumer<HostedComponent> action) {
    components.forEach(action);
  }

  /** Schedules a task on the event loop's thread; may be called by any thread. */
  void post(Runnable task) {
    eventLoop.accept(() -> run(task));
  }

  /**
   * Runs a task that may call components. If the process was paused, the components are notified of
   * the pause first.
   */
  void run(Runnable task) {
    watchdog.run(
        () -> {
          advanceTime();
          tickDue = true;
          task.run();
        });
  }

  private void advanceTime() {
    long previous = now;
    now = Math.max(now, clock.getAsLong());
    long elapsed = now - previous;
    if (elapsed > HEARTBEAT_INTERVAL + MIN_PAUSE) {
      tickDue = true;
      components.forEach(component -> component.component().onPause(now, wallTime(), elapsed));
    }
  }

  void beginIteration() {
    watchdog.run(this::advanceTime);
  }

  void endIteration() {
    watchdog.run(
        () -> {
          advanceTime();
          for (HostedComponent component : components) {
            if (tickDue || now >= component.component().nextDueAt()) {
              component.component().tick(now, wallTime());
            }
            component.onIterationEnd(now, wallTime());
          }
          tickDue = false;
        });
  }

  /**
   * Returns the time at which the next iteration is due if no event occurs before.
   *
   * @return tenths of a millisecond
   */
  long nextDueAt() {
    long dueAt = now + HEARTBEAT_INTERVAL;
    for (HostedComponent component : components) {
      dueAt = Math.min(dueAt, component.component().nextDueAt());
    }
    return dueAt;
  }
}
