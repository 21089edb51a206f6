package tillerlink.trace;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Puts tasks in order that stand out of order by a window of trace time at most: a wheel of slots,
 * each a part of the window, of which only the one that is due is sorted. A task later than the
 * window is counted and passed over. When more wait than may, the earliest slots go out before
 * their time; what comes behind them counts as late.
 */
public final class Reorder implements Tasks {
  private static final int SLOTS = 512;
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong(Task::start).thenComparingLong(Task::number);

  private final Tasks source;
  private final Tally tally;
  private final long slotSpan;
  private final int most;
  private final List<List<Task>> wheel = new ArrayList<>(SLOTS);

  /** Tasks beyond the wheel's reach, which begin a new turn of it. */
  private Task ahead;

  /** Number of the slot that is due next, counted from time 0. */
  private long due = Long.MIN_VALUE;

  /** No slot behind this one has been filled. */
  private long furthest = Long.MIN_VALUE;

  private int waiting;
  private List<Task> ready = new ArrayList<>();
  private int at;
  private boolean ended;
  private long early;

  /**
   * @param window in tenths of a millisecond of the trace
   */
  public Reorder(Tasks source, long window, int most, Tally tally) {
    this.source = source;
    this.tally = tally;
    this.most = most;
    slotSpan = Math.max(1, -Math.floorDiv(-window, SLOTS - 2));
    for (int i = 0; i < SLOTS; i++) {
      wheel.add(new ArrayList<>());
    }
  }

  /** How many went out before the window had passed, because too many waited. */
  public long early() {
    return early;
  }

  @Override
  public Task next() throws IOException {
    while (at == ready.size()) {
      if (!turn()) {
        return null;
      }
    }
    return ready.get(at++);
  }

  /** Reads on until the slot that is due is complete, then makes it ready; false at the end. */
  private boolean turn() throws IOException {
    while (!ended && waiting < most && (due == Long.MIN_VALUE || furthest < due + SLOTS - 1)) {
      Task task = ahead != null ? ahead : source.next();
      ahead = null;
      if (task == null) {
        ended = true;
      } else if (!take(task)) {
        break;
      }
    }
    if (waiting == 0 && ahead == null) {
      return false;
    }
    if (waiting == 0) {
      due = Math.max(due, slot(ahead) - SLOTS + 2);
      return true;
    }
    if (!ended && waiting >= most && furthest < due + SLOTS - 1) {
      early += wheel.get(place(due)).size();
    }
    List<Task> emptied = ready;
    emptied.clear();
    at = 0;
    ready = wheel.get(place(due));
    wheel.set(place(due), emptied);
    ready.sort(ORDER);
    waiting -= ready.size();
    due++;
    return true;
  }

  /** False if the task lies beyond the wheel; it waits until the slots before it went out. */
  private boolean take(Task task) {
    long slot = slot(task);
    if (due == Long.MIN_VALUE) {
      // The first may itself be behind others by up to the window.
      due = slot - SLOTS + 2;
    }
    if (slot < due) {
      tally.unuse(task.rows(), Skip.LATE);
      return true;
    }
    if (slot >= due + SLOTS) {
      ahead = task;
      furthest = due + SLOTS - 1;
      return false;
    }
    furthest = Math.max(furthest, slot);
    wheel.get(place(slot)).add(task);
    waiting++;
    return true;
  }

  private long slot(Task task) {
    return task.start() / slotSpan;
  }

  private static int place(long slot) {
    return (int) Math.floorMod(slot, (long) SLOTS);
  }
}
