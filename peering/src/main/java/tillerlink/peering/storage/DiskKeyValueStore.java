package tillerlink.peering.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.cluster.KeyValueStore;
import tillerlink.store.DurableTable;
import tillerlink.store.FileSystemDirectory;
import tillerlink.store.RecoveryReport;

/**
 * Keeps on disk, on a thread of its own: all that waits is written in the order in which it was
 * handed over and synced once, so that whatever was handed over before is kept no later. After a
 * fault of the disk nothing more is kept, and whoever hands something over is told so.
 */
public final class DiskKeyValueStore implements KeyValueStore, Closeable {
  /**
   * A log beyond a quarter of all there may be is replaced by a snapshot; these bound that quarter.
   */
  private static final long SEGMENT_LEAST = 1 << 20;

  private static final long SEGMENT_MOST = 1 << 26;

  /**
   * The store reads no file that is longer than 256 MB: neither a snapshot nor a segment may come
   * near.
   */
  public static final long BYTES_MOST = 192L << 20;

  private static final int NAME_MOST = 512;
  private static final int OVERHEAD = 64;
  private static final int WAITING_MOST = 100_000;
  private static final long WAITING_BYTES_MOST = 32L << 20;
  private static final long CLOSE_WITHIN_MS = 2000;
  private static final Logger LOG = LoggerFactory.getLogger(DiskKeyValueStore.class);

  private record Change(String name, byte[] value, Runnable kept) {
    int size() {
      return name.length() + (value == null ? 0 : value.length) + OVERHEAD;
    }
  }

  private final DurableTable table;
  private final Consumer<Runnable> turns;
  private final long maxBytes;
  private final NavigableMap<String, byte[]> found;

  /** What each name takes; of the thread that owns all state. */
  private final Map<String, Integer> sizes = new HashMap<>();

  private long bytes;
  private final Thread thread = new Thread(this::run, "keep");
  private List<Change> waiting = new ArrayList<>();
  private long waitingBytes;
  private boolean closing;
  private boolean failed;

  private DiskKeyValueStore(DurableTable table, long maxBytes, Consumer<Runnable> turns) {
    this.table = table;
    this.maxBytes = maxBytes;
    this.turns = turns;
    found = Collections.unmodifiableNavigableMap(new TreeMap<>(table.values()));
    found.forEach((name, value) -> count(name, value));
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Opens what a gateway keeps in a folder.
   *
   * @param owner whose it is; a folder copied from another is refused
   * @param maxBytes of all names and values together; {@link #BYTES_MOST} at the most
   * @param turns what is to be run in a later turn
   * @throws IOException if it can't be used: another process has it, or it is another's; nothing
   *     was touched then
   */
  public static DiskKeyValueStore open(
      Path folder, String owner, long maxBytes, Consumer<Runnable> turns) throws IOException {
    long most = Math.min(maxBytes, BYTES_MOST);
    long segment = Math.max(SEGMENT_LEAST, Math.min(SEGMENT_MOST, most / 4));
    DurableTable table =
        new DurableTable(
            new FileSystemDirectory(folder), sum(owner), segment, most + (SEGMENT_LEAST << 1));
    RecoveryReport state = table.open();
    state.told().forEach(line -> LOG.warn("{}: {}", folder, line));
    if (!state.usable()) {
      throw new IOException(folder + ": " + String.join("; ", state.told()));
    }
    return new DiskKeyValueStore(table, most, turns);
  }

  private static long sum(String owner) {
    CRC32C crc = new CRC32C();
    crc.update(owner.getBytes(StandardCharsets.UTF_8));
    return crc.getValue() << 8 | 2;
  }

  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return found;
  }

  @Override
  public boolean set(String name, byte[] value, Runnable kept) {
    if (name.length() > NAME_MOST || value != null && value.length > MAX_VALUE_BYTES) {
      throw new IllegalArgumentException("more than can be kept: " + name);
    }
    Change change = new Change(name, value, kept);
    long grown = bytes + (value == null ? 0 : change.size()) - sizes.getOrDefault(name, 0);
    if (value != null && grown > maxBytes || !hand(change)) {
      return false;
    }
    count(name, value);
    return true;
  }

  private void count(String name, byte[] value) {
    Integer before =
        value == null
            ? sizes.remove(name)
            : sizes.put(name, name.length() + value.length + OVERHEAD);
    bytes +=
        (value == null ? 0 : name.length() + value.length + OVERHEAD)
            - (before == null ? 0 : before);
  }

  private synchronized boolean hand(Change change) {
    boolean room =
        waiting.size() < WAITING_MOST && waitingBytes + change.size() <= WAITING_BYTES_MOST;
    if (failed || closing || !room) {
      return false;
    }
    waiting.add(change);
    waitingBytes += change.size();
    notifyAll();
    return true;
  }

  // ---- the thread that writes ----

  private void run() {
    try {
      for (List<Change> batch = take(); batch != null; batch = take()) {
        if (!write(batch)) {
          fail();
          return;
        }
        List<Runnable> kept = batch.stream().map(Change::kept).filter(run -> run != null).toList();
        if (!kept.isEmpty()) {
          turns.accept(() -> kept.forEach(Runnable::run));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized List<Change> take() throws InterruptedException {
    while (waiting.isEmpty() && !closing) {
      wait();
    }
    if (waiting.isEmpty()) {
      return null;
    }
    List<Change> batch = waiting;
    waiting = new ArrayList<>();
    waitingBytes = 0;
    return batch;
  }

  private boolean write(List<Change> batch) {
    for (Change change : batch) {
      if (!table.set(change.name, change.value)) {
        return false;
      }
    }
    return table.sync();
  }

  private synchronized void fail() {
    failed = true;
    LOG.error("the disk failed: nothing that gateways share is kept here any more");
  }

  /** Whether the disk failed. */
  public synchronized boolean hasFailed() {
    return failed;
  }

  /** Writes what waits, as far as the disk lets it in a moment, and ends. */
  @Override
  public void close() throws IOException {
    synchronized (this) {
      closing = true;
      notifyAll();
    }
    try {
      thread.join(CLOSE_WITHIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!thread.isAlive()) {
      table.close();
    }
  }
}
