package tillerlink.replay;

import java.util.ArrayDeque;

/**
 * The worst window of a run: value served in time over value requested, by time of request. Windows
 * are closed once all their requests must have ended, so that few are kept.
 */
final class WorstWindow {
  private static final class Window {
    private final long number;
    private double requested;
    private double served;
    private long count;

    Window(long number) {
      this.number = number;
    }
  }

  private final long span;
  private final long closedAfter;
  private final long minCount;
  private final ArrayDeque<Window> open = new ArrayDeque<>();
  private double worst = Double.NaN;
  private long worstNumber;

  /**
   * @param minCount windows with fewer requests are ignored
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
    long number = time / span;
    for (Window window : open) {
      if (window.number == number) {
        return window;
      }
    }
    Window window = new Window(number);
    open.add(window);
    return window;
  }

  private void close(long now) {
    while (!open.isEmpty() && (open.peekFirst().number + 1) * span + closedAfter < now) {
      judge(open.pollFirst());
    }
  }

  private void judge(Window window) {
    if (window.count >= minCount) {
      double share = window.served / window.requested;
      if (Double.isNaN(worst) || share < worst) {
        worst = share;
        worstNumber = window.number;
      }
    }
  }

  void end() {
    open.forEach(this::judge);
    open.clear();
  }

  /** The worst share; NaN if no window had enough requests. */
  double worst() {
    return worst;
  }

  long worstStart() {
    return worstNumber * span;
  }
}
