package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A writer that applies changes to a table on its own thread, so that no caller waits for the disk.
 * Changes are queued until a sync is due. If several queued changes have the same key, only the
 * last one is written, so that a frequently changing value does not wear the disk.
 *
 * <p>The writer owns its thread and, once constructed, the table: only that thread accesses the
 * table until the thread has ended. The queue is guarded by this object's monitor, and the methods
 * may be called from any thread.
 */
public final class AsyncTableWriter implements Closeable {
  /** The time within which a change is made durable, from the strictest to the most relaxed. */
  public enum Durability {
    /** Synced as soon as possible. */
    AT_ONCE,
    /** Synced within the group delay, together with other changes. */
    GROUPED,
    /** Synced with the next change of a stricter durability, at the latest after the lazy delay. */
    LAZY
  }

  /**
   * The last queued change of a key.
   *
   * @param value the new value; null removes the key
   * @param durability the strictest durability of all queued changes of the key
   * @param callbacks the callbacks of all queued changes of the key, including the replaced ones
   */
  private record QueuedChange(byte[] value, Durability durability, List<Runnable> callbacks) {}

  private static final long NANOS_PER_MS = 1_000_000;
  private static final long MAX_WAIT_MS = 1000;
  private static final long CLOSE_TIMEOUT_MS = 1000;
  private static final long NO_SYNC_DUE = Long.MAX_VALUE;

  private final DurableTable table;
  private final int maxQueuedKeys;
  private final long groupDelayNanos;
  private final long lazyDelayNanos;
  private final Thread thread = new Thread(this::writeBatches, "table-writer");
  private final Map<String, QueuedChange> queue = new LinkedHashMap<>();
  private boolean closing;

  /** The {@link System#nanoTime} at which the next sync is due, or {@link #NO_SYNC_DUE}. */
  private long syncDueNanos = NO_SYNC_DUE;

  /**
   * Creates the writer and starts its thread.
   *
   * @param table the table, which must be open; {@link #close} closes it
   * @param maxQueuedKeys the maximum number of keys with queued changes
   * @param groupDelayMs the group delay in milliseconds, see {@link Durability#GROUPED}
   * @param lazyDelayMs the lazy delay in milliseconds, see {@link Durability#LAZY}
   */
  public AsyncTableWriter(
      DurableTable table, int maxQueuedKeys, long groupDelayMs, long lazyDelayMs) {
    this.table = table;
    this.maxQueuedKeys = maxQueuedKeys;
    groupDelayNanos = groupDelayMs * NANOS_PER_MS;
    lazyDelayNanos = lazyDelayMs * NANOS_PER_MS;
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a change without waiting for the disk.
   *
   * @param key the key to change
   * @param value the new value; null removes the key
   * @param durability the time within which the change is made durable
   * @param onDurable called on the writer's thread once the change is durable, and never if it
   *     cannot be made durable; may be null
   * @return whether the change was queued; false if the queue is full or the writer is closing, in
   *     which case the change is dropped
   */
  public synchronized boolean set(
      String key, byte[] value, Durability durability, Runnable onDurable) {
    QueuedChange pending = queue.get(key);
    boolean full = pending == null && queue.size() >= maxQueuedKeys;
    if (full || closing) {
      return false;
    }
    List<Runnable> callbacks = new ArrayList<>(pending == null ? List.of() : pending.callbacks);
    if (onDurable != null) {
      callbacks.add(onDurable);
    }
    Durability strictest =
        pending != null && pending.durability.compareTo(durability) < 0
            ? pending.durability
            : durability;
    queue.put(key, new QueuedChange(value, strictest, callbacks));
    long dueNanos = System.nanoTime() + delayNanos(strictest);
    if (syncDueNanos == NO_SYNC_DUE || dueNanos - syncDueNanos < 0) {
      syncDueNanos = dueNanos;
      notifyAll();
    }
    return true;
  }

  private long delayNanos(Durability durability) {
    return switch (durability) {
      case AT_ONCE -> 0;
      case GROUPED -> groupDelayNanos;
      case LAZY -> lazyDelayNanos;
    };
  }

  private void writeBatches() {
    try {
      for (Map<String, QueuedChange> batch = takeBatch(); batch != null; batch = takeBatch()) {
        boolean accepted = true;
        for (Map.Entry<String, QueuedChange> change : batch.entrySet()) {
          accepted &= table.set(change.getKey(), change.getValue().value);
        }
        if (table.sync() && accepted) {
          batch.values().forEach(change -> change.callbacks.forEach(Runnable::run));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits until a sync is due and removes all changes from the queue.
   *
   * @return the removed changes by key, or null once the writer is closing and the queue is empty
   */
  private synchronized Map<String, QueuedChange> takeBatch() throws InterruptedException {
    while (!closing || !queue.isEmpty()) {
      long remainingNanos = remainingNanos();
      if (remainingNanos <= 0) {
        Map<String, QueuedChange> batch = new LinkedHashMap<>(queue);
        queue.clear();
        syncDueNanos = NO_SYNC_DUE;
        return batch;
      }
      wait(Math.max(1, Math.min(remainingNanos / NANOS_PER_MS + 1, MAX_WAIT_MS)));
    }
    return null;
  }

  private long remainingNanos() {
    if (closing) {
      return 0;
    }
    return syncDueNanos == NO_SYNC_DUE ? Long.MAX_VALUE : syncDueNanos - System.nanoTime();
  }

  /**
   * Writes the queued changes, ends the thread and closes the table. Waits at most one second for
   * the thread; if a slow disk delays it for longer, the table stays open, since the thread still
   * uses it.
   */
  @Override
  public void close() throws IOException {
    synchronized (this) {
      closing = true;
      notifyAll();
    }
    try {
      thread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!thread.isAlive()) {
      table.close();
    }
  }
}
