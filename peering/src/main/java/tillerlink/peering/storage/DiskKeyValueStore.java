package tillerlink.peering.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;
import java.util.HashMap;
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
 * A gateway's store of shared state on disk. Changes are written by a thread of their own in the
 * order in which they were made, so that earlier ones are durable no later. After a fault of the
 * disk all changes are refused. Used by the event loop's thread.
 */
public final class DiskKeyValueStore implements KeyValueStore, Closeable {
  /**
   * Bound of all names and values together. The store reads no file of more than 256 MB, so neither
   * a snapshot nor a segment may come near that.
   */
  public static final long MAX_BYTES = 192L << 20;

  /** Bounds of the segment length, which is otherwise a quarter of the store's bound. */
  private static final long MIN_SEGMENT_BYTES = 1 << 20;

  private static final long MAX_SEGMENT_BYTES = 1 << 26;
  private static final int SEGMENTS_PER_STORE = 4;

  /** The table's bound lies above the store's own, which counts in another way. */
  private static final long TABLE_RESERVE_BYTES = MIN_SEGMENT_BYTES << 1;

  private static final int MAX_NAME_LENGTH = 512;

  /** Tells the store of shared state from others of the same gateway. */
  private static final long OWNER_KIND = 2;

  private static final Logger LOG = LoggerFactory.getLogger(DiskKeyValueStore.class);

  private final long maxBytes;
  private final NavigableMap<String, byte[]> initialEntries;
  private final OrderedWriter writer;

  /** What each name and its value take. */
  private final Map<String, Integer> entryBytes = new HashMap<>();

  private long totalBytes;

  private DiskKeyValueStore(DurableTable table, long maxBytes, Consumer<Runnable> eventLoop) {
    this.maxBytes = maxBytes;
    initialEntries = Collections.unmodifiableNavigableMap(new TreeMap<>(table.values()));
    initialEntries.forEach(this::count);
    writer = new OrderedWriter(table, eventLoop);
  }

  /**
   * Opens the store in a directory.
   *
   * @param owner the gateway's name; a directory copied from another gateway is refused
   * @param maxBytes of all names and values together; {@link #MAX_BYTES} at most
   * @param eventLoop runs tasks on the event loop's thread
   * @throws IOException if the store can't be used, as when another process has it or it belongs to
   *     another gateway; nothing was changed then
   */
  public static DiskKeyValueStore open(
      Path directory, String owner, long maxBytes, Consumer<Runnable> eventLoop)
      throws IOException {
    long bound = Math.min(maxBytes, MAX_BYTES);
    long segmentBytes =
        Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, bound / SEGMENTS_PER_STORE));
    DurableTable table =
        new DurableTable(
            new FileSystemDirectory(directory),
            ownerNumber(owner),
            segmentBytes,
            bound + TABLE_RESERVE_BYTES);
    RecoveryReport report = table.open();
    report.told().forEach(line -> LOG.warn("{}: {}", directory, line));
    if (!report.usable()) {
      throw new IOException(directory + ": " + String.join("; ", report.told()));
    }
    return new DiskKeyValueStore(table, bound, eventLoop);
  }

  private static long ownerNumber(String owner) {
    CRC32C crc = new CRC32C();
    crc.update(owner.getBytes(StandardCharsets.UTF_8));
    return crc.getValue() << 8 | OWNER_KIND;
  }

  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return initialEntries;
  }

  @Override
  public boolean set(String name, byte[] value, Runnable onDurable) {
    if (name.length() > MAX_NAME_LENGTH || (value != null && value.length > MAX_VALUE_BYTES)) {
      throw new IllegalArgumentException("more than can be kept: " + name);
    }
    Change change = new Change(name, value, onDurable);
    long bytesAfter = totalBytes + change.bytes() - entryBytes.getOrDefault(name, 0);
    boolean fits = value == null || bytesAfter <= maxBytes;
    if (!fits || !writer.enqueue(change)) {
      return false;
    }
    count(name, value);
    return true;
  }

  private void count(String name, byte[] value) {
    int bytes = value == null ? 0 : Change.entryBytes(name, value);
    Integer previous = value == null ? entryBytes.remove(name) : entryBytes.put(name, bytes);
    totalBytes += bytes - (previous == null ? 0 : previous);
  }

  /** Whether the disk failed. For any thread. */
  public boolean hasFailed() {
    return writer.hasFailed();
  }

  /** Writes what is queued, as far as the disk allows within two seconds, and closes the files. */
  @Override
  public void close() throws IOException {
    writer.close();
  }
}
