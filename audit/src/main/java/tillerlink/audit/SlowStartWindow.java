package tillerlink.audit;

import java.util.ArrayDeque;
import tillerlink.fleet.Fleet;

/**
 * The work that was sent to an engine within the overload window, compared with the work that the
 * engine can bear while it is warming up. Times and work are tenths of a millisecond.
 */
final class SlowStartWindow {
  private record SentWork(long at, double work) {}

  private final Fleet fleet;
  private final int kind;
  private final long startedAt;
  private final ArrayDeque<SentWork> sent = new ArrayDeque<>();
  private double workInWindow;
  private double maxLoad;

  SlowStartWindow(Fleet fleet, int kind, long startedAt) {
    this.fleet = fleet;
    this.kind = kind;
    this.startedAt = startedAt;
  }

  /** Returns the time since the engine started. */
  long age(long now) {
    return now - startedAt;
  }

  /** Returns the work that was sent within the window that ends with the last addition. */
  double workInWindow() {
    return workInWindow;
  }

  /**
   * Returns the maximum work that was sent within a window, as a fraction of the work that the
   * engine could bear then.
   */
  double maxLoad() {
    return maxLoad;
  }

  /**
   * Adds work that was sent to the engine.
   *
   * @param work the execution time on one core
   * @return whether the engine is warming up and the work in the window exceeds what it can bear
   */
  boolean add(long now, double work) {
    if (startedAt <= 0 || age(now) > fleet.warmupTime() + fleet.overloadWindow()) {
      sent.clear();
      return false;
    }
    sent.add(new SentWork(now, work));
    workInWindow += work;
    while (sent.peekFirst().at <= now - fleet.overloadWindow()) {
      workInWindow -= sent.pollFirst().work;
    }
    double bearable = bearableWork(now);
    maxLoad = Math.max(maxLoad, workInWindow / bearable);
    return workInWindow > bearable;
  }

  /**
   * Returns the work that the engine can bear within a window. Its capacity grows linearly from the
   * start capacity to that of all its cores at the end of the warm-up.
   */
  private double bearableWork(long now) {
    double capacityFraction =
        Math.min(
            1, fleet.startCapacity() + (1 - fleet.startCapacity()) * age(now) / fleet.warmupTime());
    return capacityFraction
        * fleet.kinds().get(kind).cores()
        * fleet.overloadWindow()
        * fleet.overloadFactor();
  }
}
