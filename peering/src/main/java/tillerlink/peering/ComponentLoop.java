package tillerlink.peering;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import tillerlink.peering.component.HostedComponent;

/**
 * Runs the components within the gateway's event loop: passes them time, and notifies them of a
 * pause of the process before anything else reaches them. All methods but {@link #post} are called
 * by the event loop's thread. Times are tenths of a millisecond.
 */
final class ComponentLoop {
  private static final long TENTHS_PER_MS = 10;

  /** An iteration takes place that often though nothing comes, so that pauses are noticed. */
  private static final long HEARTBEAT = 1000;

  /** Silence of so much longer than that is a pause of the process. */
  private static final long MIN_PAUSE = 2000;

  private final Consumer<Runnable> eventLoop;
  private final LongSupplier clock;
  private final Watchdog watchdog;
  private final List<HostedComponent> components = new ArrayList<>();
  private long now;

  /** Something reached the components since their last tick. */
  private boolean tickDue = true;

  /**
   * @param eventLoop runs tasks on the event loop's thread, from any thread
   * @param clock monotonic, and goes on while the process is stopped
   */
  ComponentLoop(Consumer<Runnable> eventLoop, LongSupplier clock, Watchdog watchdog) {
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.watchdog = watchdog;
    now = clock.getAsLong();
  }

  /** The time as of which the components are called; it never goes back. */
  long now() {
    return now;
  }

  /** The machine's clock, in tenths of a millisecond since 1970. */
  static long wallTime() {
    return System.currentTimeMillis() * TENTHS_PER_MS;
  }

  void add(HostedComponent component) {
    components.add(component);
  }

  /** The component to which messages of that number go. */
  Optional<HostedComponent> withNumber(int number) {
    for (HostedComponent component : components) {
      if (component.number() == number) {
        return Optional.of(component);
      }
    }
    return Optional.empty();
  }

  /** The component that answers requests for that path. */
  Optional<HostedComponent> forPath(String path) {
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

  /** Runs a task in a later iteration, from any thread. */
  void post(Runnable task) {
    eventLoop.accept(() -> run(task));
  }

  /** Runs a task that may reach components: they are notified first if the process was paused. */
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
    if (elapsed > HEARTBEAT + MIN_PAUSE) {
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

  /** When the next iteration is due though nothing comes. */
  long nextDueAt() {
    long dueAt = now + HEARTBEAT;
    for (HostedComponent component : components) {
      dueAt = Math.min(dueAt, component.component().nextDueAt());
    }
    return dueAt;
  }
}
