package tillerlink.audit;

import java.util.ArrayDeque;
import tillerlink.fleet.Fleet;

/**
 * The work that an engine was sent of late, against what it can bear while it is warming up. Times
 * and work are tenths of a millisecond.
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

  long age(long now) {
    return now - startedAt;
  }

  double workInWindow() {
    return workInWindow;
  }

  /** The most that was sent within a window, as a fraction of what the engine could bear then. */
  double maxLoad() {
    return maxLoad;
  }

  /**
   * Adds work that was sent.
   *
   * @return whether the engine is warming up and was sent more than it can bear
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

  private double bearableWork(long now) {
    double warmth =
        Math.min(
            1, fleet.startCapacity() + (1 - fleet.startCapacity()) * age(now) / fleet.warmupTime());
    return warmth
        * fleet.kinds().get(kind).cores()
        * fleet.overloadWindow()
        * fleet.overloadFactor();
  }
}
