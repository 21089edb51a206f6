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

/** No caller waits for the disk, whatever the disk does. */
class AsyncTableWriterTest {
  /** A directory whose syncs are slow, or fail from some time on. */
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
            throw new IOException("input/output error");
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
    CountDownLatch durable = new CountDownLatch(1);
    long longest = 0;
    int refused = 0;
    for (int i = 0; i < 20_000; i++) {
      long started = System.nanoTime();
      refused +=
          writer.set(
                  "k" + i % 300,
                  new byte[10],
                  AsyncTableWriter.Durability.AT_ONCE,
                  i == 0 ? durable::countDown : null)
              ? 0
              : 1;
      longest = Math.max(longest, System.nanoTime() - started);
    }
    assertTrue(longest < 1_000_000_000L, "the longest call took " + longest / 1e6 + " ms");
    assertTrue(refused > 0, "changes are refused beyond a hundred queued keys");
    assertTrue(durable.await(10, TimeUnit.SECONDS));
  }

  @Test
  void queuedChangesOfOneKeyAreWrittenOnce() throws Exception {
    SlowDirectory disk = new SlowDirectory(0);
    DurableTable table = open(disk);
    AsyncTableWriter writer = new AsyncTableWriter(table, 10, 50, 5000);
    AtomicInteger notified = new AtomicInteger();
    for (int i = 0; i < 1000; i++) {
      assertTrue(
          writer.set(
              "flaps",
              new byte[] {(byte) i},
              AsyncTableWriter.Durability.LAZY,
              notified::incrementAndGet));
    }
    CountDownLatch durable = new CountDownLatch(1);
    assertTrue(
        writer.set("last", new byte[0], AsyncTableWriter.Durability.GROUPED, durable::countDown));
    assertTrue(durable.await(10, TimeUnit.SECONDS));
    assertEquals(1000, notified.get(), "every callback ran");
    assertTrue(disk.syncs.get() < 10, disk.syncs + " syncs");
    writer.close();
    DurableTable reopened = open(disk);
    assertEquals((byte) 999, reopened.values().get("flaps")[0]);
    assertTrue(reopened.sequence() <= 4, reopened.sequence() + " records");
  }

  @Test
  void noCallbackRunsAfterADiskFault() throws Exception {
    SlowDirectory disk = new SlowDirectory(0);
    AsyncTableWriter writer = new AsyncTableWriter(open(disk), 10, 1, 10);
    disk.failing = true;
    AtomicInteger notified = new AtomicInteger();
    assertTrue(
        writer.set(
            "a", new byte[1], AsyncTableWriter.Durability.AT_ONCE, notified::incrementAndGet));
    writer.close();
    assertEquals(0, notified.get());
    assertFalse(writer.set("b", new byte[1], AsyncTableWriter.Durability.AT_ONCE, null));
  }
}
