package tillerlink.trace;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Sorts tasks that are out of order by at most a window of trace time. A wheel of slots covers the
 * window, and only the slot that is due is sorted. A task later than the window is counted and
 * skipped. When too many wait, the earliest slots are released before their time, and tasks that
 * belong before them count as late.
 */
public final class ReorderBuffer implements TaskSource {
  private static final int SLOTS = 512;
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong(Task::start).thenComparingLong(Task::number);

  private final TaskSource source;
  private final RowCounts counts;
  private final long slotSpan;
  private final int maxWaiting;
  private final List<List<Task>> wheel = new ArrayList<>(SLOTS);

  /** A task beyond the wheel's reach, which waits until the slots before it are released. */
  private Task ahead;

  /** Number of the slot that is released next, counted from time 0. */
  private long nextSlot = Long.MIN_VALUE;

  /** The last slot that has been filled. */
  private long lastSlot = Long.MIN_VALUE;

  private int waiting;
  private List<Task> ready = new ArrayList<>();
  private int nextReady;
  private boolean ended;
  private long releasedEarly;

  /**
   * @param window in tenths of a millisecond of the trace
   */
  public ReorderBuffer(TaskSource source, long window, int maxWaiting, RowCounts counts) {
    this.source = source;
    this.counts = counts;
    this.maxWaiting = maxWaiting;
    slotSpan = Math.max(1, -Math.floorDiv(-window, SLOTS - 2));
    for (int i = 0; i < SLOTS; i++) {
      wheel.add(new ArrayList<>());
    }
  }

  /** How many tasks were released before the window had passed, because too many waited. */
  public long releasedEarly() {
    return releasedEarly;
  }

  @Override
  public Task next() throws IOException {
    while (nextReady == ready.size()) {
      if (!releaseSlot()) {
        return null;
      }
    }
    return ready.get(nextReady++);
  }

  /** Reads until the next slot is complete, then makes it ready; false at the end. */
  private boolean releaseSlot() throws IOException {
    fillWheel();
    if (waiting == 0 && ahead == null) {
      return false;
    }
    if (waiting == 0) {
      nextSlot = Math.max(nextSlot, slot(ahead) - SLOTS + 2);
      return true;
    }
    if (!ended && waiting >= maxWaiting && !wheelIsFull()) {
      releasedEarly += wheel.get(index(nextSlot)).size();
    }
    List<Task> emptied = ready;
    emptied.clear();
    nextReady = 0;
    ready = wheel.get(index(nextSlot));
    wheel.set(index(nextSlot), emptied);
    ready.sort(ORDER);
    waiting -= ready.size();
    nextSlot++;
    return true;
  }

  private void fillWheel() throws IOException {
    while (!ended && waiting < maxWaiting && (nextSlot == Long.MIN_VALUE || !wheelIsFull())) {
      Task task = ahead != null ? ahead : source.next();
      ahead = null;
      if (task == null) {
        ended = true;
      } else if (!insert(task)) {
        break;
      }
    }
  }

  private boolean wheelIsFull() {
    return lastSlot >= nextSlot + SLOTS - 1;
  }

  /** False if the task lies beyond the wheel; it waits until the slots before it are released. */
  private boolean insert(Task task) {
    long slot = slot(task);
    if (nextSlot == Long.MIN_VALUE) {
      // The first task may itself be out of order by up to the window.
      nextSlot = slot - SLOTS + 2;
    }
    if (slot < nextSlot) {
      counts.usedBecomesSkipped(task.rows(), SkipReason.LATE);
      return true;
    }
    if (slot >= nextSlot + SLOTS) {
      ahead = task;
      lastSlot = nextSlot + SLOTS - 1;
      return false;
    }
    lastSlot = Math.max(lastSlot, slot);
    wheel.get(index(slot)).add(task);
    waiting++;
    return true;
  }

  private long slot(Task task) {
    return task.start() / slotSpan;
  }

  private static int index(long slot) {
    return (int) Math.floorMod(slot, (long) SLOTS);
  }
}
