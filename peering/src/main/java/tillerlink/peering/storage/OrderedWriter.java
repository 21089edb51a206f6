package tillerlink.peering.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.store.DurableTable;

/**
 * Writes changes to a table in the order in which they were queued. A separate thread writes and
 * syncs all queued changes as one batch. After a disk failure it writes nothing more.
 *
 * <p>The writer owns its thread and, once created, the table. The queue is guarded by this object's
 * monitor.
 */
final class OrderedWriter implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(DiskKeyValueStore.class);
  private static final int MAX_QUEUED_CHANGES = 100_000;
  private static final long MAX_QUEUED_BYTES = 32L << 20;
  private static final long CLOSE_TIMEOUT_MS = 2000;

  private final DurableTable table;
  private final Consumer<Runnable> eventLoop;
  private final Thread thread = new Thread(this::writeBatches, "shared-state-writer");
  private List<Change> queue = new ArrayList<>();
  private long queuedBytes;
  private boolean closing;
  private boolean failed;

  /**
   * Creates the writer and starts its thread.
   *
   * @param eventLoop runs callbacks on the event loop's thread
   */
  OrderedWriter(DurableTable table, Consumer<Runnable> eventLoop) {
    this.table = table;
    this.eventLoop = eventLoop;
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a change without waiting for the disk.
   *
   * @return false if the queue is full, the disk has failed or the writer is closing
   */
  synchronized boolean enqueue(Change change) {
    boolean fits =
        queue.size() < MAX_QUEUED_CHANGES && queuedBytes + change.bytes() <= MAX_QUEUED_BYTES;
    if (failed || closing || !fits) {
      return false;
    }
    queue.add(change);
    queuedBytes += change.bytes();
    notifyAll();
    return true;
  }

  synchronized boolean hasFailed() {
    return failed;
  }

  private void writeBatches() {
    try {
      for (List<Change> batch = takeBatch(); batch != null; batch = takeBatch()) {
        if (!write(batch)) {
          fail();
          return;
        }
        List<Runnable> callbacks =
            batch.stream().map(Change::onDurable).filter(Objects::nonNull).toList();
        if (!callbacks.isEmpty()) {
          eventLoop.accept(() -> callbacks.forEach(Runnable::run));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits for changes and removes all queued ones from the queue.
   *
   * @return the changes in order, or null if the queue is empty and the writer is closing
   */
  private synchronized List<Change> takeBatch() throws InterruptedException {
    while (queue.isEmpty() && !closing) {
      wait();
    }
    if (queue.isEmpty()) {
      return null;
    }
    List<Change> batch = queue;
    queue = new ArrayList<>();
    queuedBytes = 0;
    return batch;
  }

  private boolean write(List<Change> batch) {
    for (Change change : batch) {
      if (!table.set(change.name(), change.value())) {
        return false;
      }
    }
    return table.sync();
  }

  private synchronized void fail() {
    failed = true;
    LOG.error("the disk failed: shared state is no longer persisted");
  }

  /**
   * Waits up to two seconds for the queued changes to be written, and closes the table. If writing
   * has not ended by then, the table stays open.
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
