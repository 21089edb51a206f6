package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes to a table on a thread of its own, so that nobody who hands it a change waits for the
 * disk. Of several changes of one key that wait, the last is written: a value that flaps does not
 * wear the disk.
 */
public final class AsyncTableWriter implements Closeable {
  /** When a change is surely kept. */
  public enum Durability {
    /** Before anybody is told so: synced as soon as it can be. */
    AT_ONCE,
    /** Within the group's time, with others. */
    GROUPED,
    /** With the next that is synced, or when the lazy time is up. */
    LAZY
  }

  private record Change(byte[] value, Durability durability, List<Runnable> kept) {}

  private static final long NANOS_PER_MS = 1_000_000;

  private final DurableTable table;
  private final int waitingMost;
  private final long groupNanos;
  private final long lazyNanos;
  private final Thread thread = new Thread(this::run, "keeper");
  private final Map<String, Change> waiting = new LinkedHashMap<>();
  private boolean closing;
  private long syncBy = Long.MAX_VALUE;

  /**
   * @param waitingMost keys whose changes may wait at once
   */
  public AsyncTableWriter(DurableTable table, int waitingMost, long groupMs, long lazyMs) {
    this.table = table;
    this.waitingMost = waitingMost;
    groupNanos = groupMs * NANOS_PER_MS;
    lazyNanos = lazyMs * NANOS_PER_MS;
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Hands a change over; never waits.
   *
   * @param value null removes the key
   * @param kept called on the keeper's thread once it is kept; null if nobody asks
   * @return false if too many wait: then it is not kept
   */
  public synchronized boolean set(String key, byte[] value, Durability durability, Runnable kept) {
    Change before = waiting.get(key);
    if (before == null && waiting.size() >= waitingMost || closing) {
      return false;
    }
    List<Runnable> told = new ArrayList<>(before == null ? List.of() : before.kept);
    if (kept != null) {
      told.add(kept);
    }
    Durability strictest =
        before != null && before.durability.compareTo(durability) < 0
            ? before.durability
            : durability;
    waiting.put(key, new Change(value, strictest, told));
    long wait =
        strictest == Durability.AT_ONCE
            ? 0
            : strictest == Durability.GROUPED ? groupNanos : lazyNanos;
    long by = System.nanoTime() + wait;
    if (syncBy == Long.MAX_VALUE || by - syncBy < 0) {
      syncBy = by;
      notifyAll();
    }
    return true;
  }

  private void run() {
    try {
      for (Map<String, Change> batch = take(); batch != null; batch = take()) {
        boolean set = true;
        for (Map.Entry<String, Change> change : batch.entrySet()) {
          set &= table.set(change.getKey(), change.getValue().value);
        }
        if (table.sync() && set) {
          batch.values().forEach(change -> change.kept.forEach(Runnable::run));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** What is to be written next, once it is time; null at the end. */
  private synchronized Map<String, Change> take() throws InterruptedException {
    while (!closing || !waiting.isEmpty()) {
      long left =
          closing ? 0 : syncBy == Long.MAX_VALUE ? Long.MAX_VALUE : syncBy - System.nanoTime();
      if (left <= 0) {
        Map<String, Change> batch = new LinkedHashMap<>(waiting);
        waiting.clear();
        syncBy = Long.MAX_VALUE;
        return batch;
      }
      wait(Math.max(1, Math.min(left / NANOS_PER_MS + 1, 1000)));
    }
    return null;
  }

  /** Writes what waits, as far as the disk lets it within a second, and ends. */
  @Override
  public void close() throws IOException {
    synchronized (this) {
      closing = true;
      notifyAll();
    }
    try {
      thread.join(1000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!thread.isAlive()) {
      table.close();
    }
  }
}
