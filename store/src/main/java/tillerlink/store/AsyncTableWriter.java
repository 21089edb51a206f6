package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes to a table on a thread of its own, so that no caller waits for the disk. Changes queue
 * until a sync is due; of several changes of one key that are queued, only the last is written, so
 * that a value that flaps does not wear the disk.
 *
 * <p>The writer owns its thread and, from then on, the table: only that thread touches it until it
 * has ended. The queue is guarded by this object's monitor, and callers may be any threads.
 */
public final class AsyncTableWriter implements Closeable {
  /** How soon a change is made durable, the strictest first. */
  public enum Durability {
    /** Synced as soon as possible. */
    AT_ONCE,
    /** Synced within the group delay, together with others. */
    GROUPED,
    /** Synced with the next change that is, or when the lazy delay is over. */
    LAZY
  }

  /** A change in the queue, and the callbacks of all changes of its key that it stands for. */
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

  /** By {@link System#nanoTime}, or {@link #NO_SYNC_DUE}. */
  private long syncDueNanos = NO_SYNC_DUE;

  /**
   * Starts the thread.
   *
   * @param table already opened; closed with this writer
   * @param maxQueuedKeys keys of which changes may be queued at once
   * @param groupDelayMs see {@link Durability#GROUPED}
   * @param lazyDelayMs see {@link Durability#LAZY}
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
   * Queues a change; never waits for the disk.
   *
   * @param value null removes the key
   * @param onDurable called on the writer's thread once the change is durable, and never if it
   *     can't be made so; may be null
   * @return false if the queue is full or the writer is closing: then the change is dropped
   */
  public synchronized boolean set(
      String key, byte[] value, Durability durability, Runnable onDurable) {
    QueuedChange queued = queue.get(key);
    boolean full = queued == null && queue.size() >= maxQueuedKeys;
    if (full || closing) {
      return false;
    }
    List<Runnable> callbacks = new ArrayList<>(queued == null ? List.of() : queued.callbacks);
    if (onDurable != null) {
      callbacks.add(onDurable);
    }
    Durability strictest =
        queued != null && queued.durability.compareTo(durability) < 0
            ? queued.durability
            : durability;
    queue.put(key, new QueuedChange(value, strictest, callbacks));
    long due = System.nanoTime() + delayNanos(strictest);
    if (syncDueNanos == NO_SYNC_DUE || due - syncDueNanos < 0) {
      syncDueNanos = due;
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

  /** Waits until a sync is due and takes all queued changes; null once the writer is closed. */
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
   * Writes the queued changes, as far as the disk allows within a second, ends the thread and
   * closes the table.
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
