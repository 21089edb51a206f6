package tillerlink.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that callers never wait for the disk, even if it is slow or fails. */
class AsyncTableWriterTest {
  /** An in-memory directory whose syncs are slow, and fail while {@link #failing} is set. */
  private static final class SlowDirectory implements StorageDirectory {
    private final CrashingDirectory disk = new CrashingDirectory();
    private final long syncMs;
    private final AtomicInteger syncs = new AtomicInteger();
    private volatile boolean failing;

    SlowDirectory(long syncMs) {
      this.syncMs = syncMs;
    }

    @Override
    public List<String> list() {
      return disk.list();
    }

    @Override
    public AppendOnlyFile create(String name) throws IOException {
      AppendOnlyFile file = disk.create(name);
      return new AppendOnlyFile() {
        @Override
        public void write(byte[] bytes) throws IOException {
          file.write(bytes);
        }

        @Override
        public void sync() throws IOException {
          if (failing) {
            throw new IOException("injected sync failure");
          }
          if (syncs.incrementAndGet() > 1) {
            try {
              Thread.sleep(syncMs);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
          file.sync();
        }

        @Override
        public void close() throws IOException {
          file.close();
        }
      };
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
      return disk.read(name, maxBytes);
    }

    @Override
    public void truncate(String name, long size) throws IOException {
      disk.truncate(name, size);
    }

    @Override
    public void rename(String from, String to) throws IOException {
      disk.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
      disk.delete(name);
    }

    @Override
    public void syncDirectory() throws IOException {
      disk.syncDirectory();
    }

    @Override
    public boolean tryLock() {
      return disk.tryLock();
    }

    @Override
    public void close() {
      disk.close();
    }
  }

  private static DurableTable open(StorageDirectory disk) {
    DurableTable table = new DurableTable(disk, 5, 1 << 20, 1 << 20);
    assertTrue(table.open().usable());
    return table;
  }

  @Test
  void slowSyncsDoNotBlockCallers() throws Exception {
    SlowDirectory disk = new SlowDirectory(2000);
    AsyncTableWriter writer = new AsyncTableWriter(open(disk), 100, 10, 1000);
    CountDownLatch synced = new CountDownLatch(1);
    long longestNanos = 0;
    int rejected = 0;
    for (int i = 0; i < 20_000; i++) {
      long startNanos = System.nanoTime();
      rejected +=
          writer.set(
                  "k" + i % 300,
                  new byte[10],
                  AsyncTableWriter.Durability.AT_ONCE,
                  i == 0 ? synced::countDown : null)
              ? 0
              : 1;
      longestNanos = Math.max(longestNanos, System.nanoTime() - startNanos);
    }
    assertTrue(
        longestNanos < 1_000_000_000L,
        "longest call: expected less than 1000 ms, got " + longestNanos / 1e6 + " ms");
    assertTrue(rejected > 0, "no change was rejected with 300 keys and at most 100 queued");
    assertTrue(synced.await(10, TimeUnit.SECONDS));
  }

  @Test
  void queuedChangesOfOneKeyAreWrittenOnce() throws Exception {
    SlowDirectory disk = new SlowDirectory(0);
    DurableTable table = open(disk);
    AsyncTableWriter writer = new AsyncTableWriter(table, 10, 50, 5000);
    AtomicInteger callbacks = new AtomicInteger();
    for (int i = 0; i < 1000; i++) {
      assertTrue(
          writer.set(
              "changing",
              new byte[] {(byte) i},
              AsyncTableWriter.Durability.LAZY,
              callbacks::incrementAndGet));
    }
    CountDownLatch synced = new CountDownLatch(1);
    assertTrue(
        writer.set("last", new byte[0], AsyncTableWriter.Durability.GROUPED, synced::countDown));
    assertTrue(synced.await(10, TimeUnit.SECONDS));
    assertEquals(1000, callbacks.get(), "callbacks that ran");
    assertTrue(disk.syncs.get() < 10, disk.syncs + " syncs, expected fewer than 10");
    writer.close();
    DurableTable reopened = open(disk);
    assertEquals((byte) 999, reopened.values().get("changing")[0]);
    assertTrue(reopened.sequence() <= 4, reopened.sequence() + " records, expected at most 4");
  }

  @Test
  void noCallbackRunsAfterADiskFault() throws Exception {
    SlowDirectory disk = new SlowDirectory(0);
    AsyncTableWriter writer = new AsyncTableWriter(open(disk), 10, 1, 10);
    disk.failing = true;
    AtomicInteger callbacks = new AtomicInteger();
    assertTrue(
        writer.set(
            "a", new byte[1], AsyncTableWriter.Durability.AT_ONCE, callbacks::incrementAndGet));
    writer.close();
    assertEquals(0, callbacks.get());
    assertFalse(writer.set("b", new byte[1], AsyncTableWriter.Durability.AT_ONCE, null));
  }
}
