package tillerlink.replay;

import java.util.ArrayDeque;

/**
 * Finds the worst window of a run: the least value served in time as a share of the value
 * requested, by time of request. A window is closed once all its requests must have ended, so that
 * only a few windows are in memory. Times are tenths of a millisecond.
 */
final class WorstWindow {
  private static final class Window {
    private final long index;
    private double requested;
    private double served;
    private long count;

    Window(long index) {
      this.index = index;
    }
  }

  private final long span;
  private final long closedAfter;
  private final long minCount;
  private final ArrayDeque<Window> open = new ArrayDeque<>();
  private double worst = Double.NaN;
  private long worstIndex;

  /**
   * Creates a search over consecutive windows.
   *
   * @param span the span of a window
   * @param closedAfter the time after the end of a window at which all its requests must have ended
   * @param minCount the number of requests below which a window is ignored
   */
  WorstWindow(long span, long closedAfter, long minCount) {
    this.span = span;
    this.closedAfter = closedAfter;
    this.minCount = minCount;
  }

  void requested(long time, double value) {
    close(time);
    Window window = windowAt(time);
    window.requested += value;
    window.count++;
  }

  void served(long requestedAt, double value) {
    windowAt(requestedAt).served += value;
  }

  private Window windowAt(long time) {
    long index = time / span;
    for (Window window : open) {
      if (window.index == index) {
        return window;
      }
    }
    Window window = new Window(index);
    open.add(window);
    return window;
  }

  private void close(long now) {
    while (!open.isEmpty() && (open.peekFirst().index + 1) * span + closedAfter < now) {
      evaluate(open.pollFirst());
    }
  }

  private void evaluate(Window window) {
    if (window.count >= minCount) {
      double share = window.served / window.requested;
      if (Double.isNaN(worst) || share < worst) {
        worst = share;
        worstIndex = window.index;
      }
    }
  }

  void end() {
    open.forEach(this::evaluate);
    open.clear();
  }

  /** Returns the worst share; NaN if no window had enough requests. */
  double worst() {
    return worst;
  }

  /** Returns the start of the worst window. */
  long worstStart() {
    return worstIndex * span;
  }
}
