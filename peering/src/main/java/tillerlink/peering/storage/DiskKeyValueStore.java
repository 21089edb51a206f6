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
 * A gateway's store of shared state on disk. A separate thread writes changes in the order in which
 * they were made, so that a change is never durable before an earlier one. After a disk failure all
 * changes are refused. Used by the event loop's thread.
 */
public final class DiskKeyValueStore implements KeyValueStore, Closeable {
  /**
   * The maximum total size of all names and values in bytes. The store can't read a file of more
   * than 256 MB, so snapshots and segments must stay well below that size.
   */
  public static final long MAX_BYTES = 192L << 20;

  /** The minimum segment length, which is otherwise a quarter of the store's size limit. */
  private static final long MIN_SEGMENT_BYTES = 1 << 20;

  /** The maximum segment length. */
  private static final long MAX_SEGMENT_BYTES = 1 << 26;

  private static final int SEGMENTS_PER_STORE = 4;

  /**
   * The difference between the size limits of the table and of this store. The table's limit is
   * higher because the two count sizes differently.
   */
  private static final long TABLE_RESERVE_BYTES = MIN_SEGMENT_BYTES << 1;

  private static final int MAX_NAME_LENGTH = 512;

  /** Distinguishes the store of shared state from other stores of the same gateway. */
  private static final long OWNER_KIND = 2;

  private static final Logger LOG = LoggerFactory.getLogger(DiskKeyValueStore.class);

  private final long maxBytes;
  private final NavigableMap<String, byte[]> initialEntries;
  private final OrderedWriter writer;

  /** The counted bytes of each entry by name. */
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
   * @param maxBytes the maximum total size of all names and values; a value above {@link
   *     #MAX_BYTES} is reduced to it
   * @param eventLoop runs tasks on the event loop's thread
   * @throws IOException if the store can't be used, for example because another process has locked
   *     it or it belongs to another gateway; the files are unchanged then
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
      throw new IllegalArgumentException(
          "entry "
              + name
              + " has a name of "
              + name.length()
              + " characters and a value of "
              + (value == null ? 0 : value.length)
              + " bytes, expected at most "
              + MAX_NAME_LENGTH
              + " and "
              + MAX_VALUE_BYTES);
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

  /** Returns whether the disk has failed. May be called by any thread. */
  public boolean hasFailed() {
    return writer.hasFailed();
  }

  /**
   * Waits up to two seconds for the queued changes to be written, and closes the files. If writing
   * has not ended by then, the files stay open.
   */
  @Override
  public void close() throws IOException {
    writer.close();
  }
}
