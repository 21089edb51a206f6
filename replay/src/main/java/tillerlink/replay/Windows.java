package tillerlink.replay;

import java.util.ArrayDeque;

/**
 * The worst window of a run: value answered in time over value asked for, by when it was asked.
 * Windows are closed once everything of them must have ended, so that only a few are ever kept.
 */
final class Windows {
  private static final class Window {
    private final long number;
    private double asked;
    private double got;
    private long count;

    Window(long number) {
      this.number = number;
    }
  }

  private final long span;
  private final long closedAfter;
  private final long countLeast;
  private final ArrayDeque<Window> open = new ArrayDeque<>();
  private double worst = Double.NaN;
  private long worstNumber;

  /**
   * @param countLeast windows with fewer requests say nothing
   */
  Windows(long span, long closedAfter, long countLeast) {
    this.span = span;
    this.closedAfter = closedAfter;
    this.countLeast = countLeast;
  }

  void asked(long at, double value) {
    close(at);
    Window window = at(at);
    window.asked += value;
    window.count++;
  }

  void got(long askedAt, double value) {
    at(askedAt).got += value;
  }

  private Window at(long at) {
    long number = at / span;
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
    if (window.count >= countLeast) {
      double share = window.got / window.asked;
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

  /** NaN if no window had enough. */
  double worst() {
    return worst;
  }

  long worstFrom() {
    return worstNumber * span;
  }
}
