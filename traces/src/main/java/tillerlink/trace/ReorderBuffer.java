package tillerlink.trace;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A buffer that sorts tasks that are out of order by at most a window of trace time. A wheel of
 * time slots covers the window, and each slot is sorted when it is released. A task that is out of
 * order by more than the window is counted as late and skipped. If the buffer is full, the earliest
 * slots are released before the window has passed, and tasks that belong before them count as late.
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

  /** A task beyond the wheel, which waits until the slots before it are released; or null. */
  private Task deferred;

  /** The number of the slot that is released next, counted from time 0. */
  private long nextSlot = Long.MIN_VALUE;

  /** The number of the last slot that has been filled. */
  private long lastSlot = Long.MIN_VALUE;

  private int waiting;
  private List<Task> ready = new ArrayList<>();
  private int nextReady;
  private boolean ended;
  private long releasedEarly;

  /**
   * Creates an empty buffer.
   *
   * @param window the time by which a task may be out of order, in tenths of a millisecond of the
   *     trace
   * @param maxWaiting the maximum number of tasks that wait in the wheel
   * @param counts receives the rows of late tasks
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

  /** Returns the number of tasks released before the window had passed because it was full. */
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

  /**
   * Reads until the next slot is complete, and releases that slot.
   *
   * @return false if there are no further tasks
   */
  private boolean releaseSlot() throws IOException {
    fillWheel();
    if (waiting == 0 && deferred == null) {
      return false;
    }
    if (waiting == 0) {
      nextSlot = Math.max(nextSlot, slot(deferred) - SLOTS + 2);
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

  /** Reads tasks until the wheel is full, too many tasks wait, or the source has ended. */
  private void fillWheel() throws IOException {
    while (!ended && waiting < maxWaiting && (nextSlot == Long.MIN_VALUE || !wheelIsFull())) {
      Task task = deferred != null ? deferred : source.next();
      deferred = null;
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

  /**
   * Adds a task to its slot, or counts it as late.
   *
   * @return false if the task is beyond the wheel; it is deferred until the slots before it are
   *     released
   */
  private boolean insert(Task task) {
    long slot = slot(task);
    if (nextSlot == Long.MIN_VALUE) {
      // The first task may itself be out of order by up to the window.
      nextSlot = slot - SLOTS + 2;
    }
    if (slot < nextSlot) {
      counts.reclassifyAsSkipped(task.rows(), SkipReason.LATE);
      return true;
    }
    if (slot >= nextSlot + SLOTS) {
      deferred = task;
      lastSlot = nextSlot + SLOTS - 1;
      return false;
    }
    lastSlot = Math.max(lastSlot, slot);
    wheel.get(index(slot)).add(task);
    waiting++;
    return true;
  }

  /** Returns the number of a task's slot, counted from time 0. */
  private long slot(Task task) {
    return task.start() / slotSpan;
  }

  /** Returns the index in the wheel of a slot. */
  private static int index(long slot) {
    return (int) Math.floorMod(slot, (long) SLOTS);
  }
}
