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

/** Nobody who hands a change over waits for the disk, whatever the disk does. */
class AsyncTableWriterTest {
  /** A disk that takes its time for a sync, or says EIO from some time on. */
  private static final class Slow implements StorageDirectory {
    private final CrashingDirectory disk = new CrashingDirectory();
    private final long syncMs;
    private final AtomicInteger syncs = new AtomicInteger();
    private volatile boolean broken;

    Slow(long syncMs) {
      this.syncMs = syncMs;
    }

    @Override
    public List<String> list() {
      return disk.list();
    }

    @Override
    public Out create(String name) throws IOException {
      Out out = disk.create(name);
      return new Out() {
        @Override
        public void write(byte[] bytes) throws IOException {
          out.write(bytes);
        }

        @Override
        public void sync() throws IOException {
          if (broken) {
            throw new IOException("input/output error");
          }
          if (syncs.incrementAndGet() > 1) {
            try {
              Thread.sleep(syncMs);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
          out.sync();
        }

        @Override
        public void close() throws IOException {
          out.close();
        }
      };
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
      return disk.read(name, most);
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
    public void syncFolder() throws IOException {
      disk.syncFolder();
    }

    @Override
    public boolean lock() {
      return disk.lock();
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
  void aDiskThatTakesTwoSecondsStallsNobody() throws Exception {
    Slow disk = new Slow(2000);
    AsyncTableWriter keeper = new AsyncTableWriter(open(disk), 100, 10, 1000);
    CountDownLatch kept = new CountDownLatch(1);
    long longest = 0;
    int refused = 0;
    for (int i = 0; i < 20_000; i++) {
      long began = System.nanoTime();
      refused +=
          keeper.set(
                  "k" + i % 300,
                  new byte[10],
                  AsyncTableWriter.Durability.AT_ONCE,
                  i == 0 ? kept::countDown : null)
              ? 0
              : 1;
      longest = Math.max(longest, System.nanoTime() - began);
    }
    assertTrue(longest < 1_000_000_000L, "the longest call took " + longest / 1e6 + " ms");
    assertTrue(refused > 0, "beyond a hundred keys that wait, changes are refused");
    assertTrue(kept.await(10, TimeUnit.SECONDS));
  }

  @Test
  void aValueThatFlapsIsWrittenOnce() throws Exception {
    Slow disk = new Slow(0);
    DurableTable table = open(disk);
    AsyncTableWriter keeper = new AsyncTableWriter(table, 10, 50, 5000);
    AtomicInteger told = new AtomicInteger();
    for (int i = 0; i < 1000; i++) {
      assertTrue(
          keeper.set(
              "flaps",
              new byte[] {(byte) i},
              AsyncTableWriter.Durability.LAZY,
              told::incrementAndGet));
    }
    CountDownLatch kept = new CountDownLatch(1);
    assertTrue(
        keeper.set("last", new byte[0], AsyncTableWriter.Durability.GROUPED, kept::countDown));
    assertTrue(kept.await(10, TimeUnit.SECONDS));
    assertEquals(1000, told.get(), "all who asked were told");
    assertTrue(disk.syncs.get() < 10, disk.syncs + " syncs");
    keeper.close();
    DurableTable again = open(disk);
    assertEquals((byte) 999, again.values().get("flaps")[0]);
    assertTrue(again.sequence() <= 4, again.sequence() + " records");
  }

  @Test
  void afterAFaultNobodyIsToldThatItIsKept() throws Exception {
    Slow disk = new Slow(0);
    AsyncTableWriter keeper = new AsyncTableWriter(open(disk), 10, 1, 10);
    disk.broken = true;
    AtomicInteger told = new AtomicInteger();
    assertTrue(
        keeper.set("a", new byte[1], AsyncTableWriter.Durability.AT_ONCE, told::incrementAndGet));
    keeper.close();
    assertEquals(0, told.get());
    assertFalse(keeper.set("b", new byte[1], AsyncTableWriter.Durability.AT_ONCE, null));
  }
}
