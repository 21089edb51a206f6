package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import tillerlink.store.FileFormat.RecordType;

/**
 * A small key-value table that survives crashes. Every change is a record of a write-ahead log;
 * when the current segment has grown long enough, the whole table is written as a snapshot and the
 * segments before it are deleted. After a crash, recovery finds everything that was synced, and of
 * the changes after that a prefix. Not thread-safe: one thread uses it.
 */
public final class DurableTable implements Closeable {
  private static final byte[] NO_VALUE = new byte[0];

  private final StorageDirectory directory;
  private final long owner;
  private final long maxSegmentBytes;
  private final long maxTableBytes;
  private final TableState table = new TableState();
  private final WriteAheadLog log;
  private final Compaction compaction;
  private RecoveryReport recoveryReport;
  private boolean failed = true;

  /**
   * @param owner identifies whose store it is; the files of another owner are not touched
   * @param maxSegmentBytes length of a log segment beyond which {@link #sync} takes a snapshot
   * @param maxTableBytes bound of all keys and values together, with an overhead for each
   */
  public DurableTable(
      StorageDirectory directory, long owner, long maxSegmentBytes, long maxTableBytes) {
    this.directory = directory;
    this.owner = owner;
    this.maxSegmentBytes = maxSegmentBytes;
    this.maxTableBytes = maxTableBytes;
    log = new WriteAheadLog(directory, owner);
    compaction = new Compaction(directory, owner);
  }

  /**
   * Locks the directory, recovers the table from its files and begins a new segment. To be called
   * once, before anything else.
   *
   * @return also for a store that can't be used, as after an I/O error: nothing is thrown
   */
  public RecoveryReport open() {
    try {
      recoveryReport =
          directory.tryLock()
              ? recover()
              : new RecoveryReport(
                  RecoveryReport.State.LOCKED, List.of("another process has the store"));
    } catch (IOException e) {
      recoveryReport = foreign("cannot read the store: " + e.getMessage());
    }
    failed = !recoveryReport.usable();
    return recoveryReport;
  }

  private RecoveryReport recover() throws IOException {
    List<String> names = directory.list();
    Recovery recovery = new Recovery(directory, owner, table);
    Optional<String> foreignFile = recovery.findForeignFile(names);
    if (foreignFile.isPresent()) {
      return foreign(foreignFile.get());
    }
    log.startAfter(recovery.run(names));
    return recovery.report();
  }

  private static RecoveryReport foreign(String reason) {
    return new RecoveryReport(RecoveryReport.State.FOREIGN, List.of(reason));
  }

  /** What {@link #open} returned; null before. */
  public RecoveryReport recoveryReport() {
    return recoveryReport;
  }

  /** A live, unmodifiable view of all entries. */
  public NavigableMap<String, byte[]> values() {
    return table.values();
  }

  /** The sequence of the last change, counted from 1 over the whole life of the store. */
  public long sequence() {
    return table.sequence();
  }

  /**
   * Whether the store is not usable, or a write or sync failed for good: changes are refused from
   * then on, and the entries in memory stay as they are.
   */
  public boolean hasFailed() {
    return failed;
  }

  /**
   * Changes the table and appends the change to the log; it is durable after the next {@link
   * #sync}.
   *
   * @param value null removes the key
   * @return false if the table would exceed its bound, or the store has failed
   * @throws IllegalArgumentException if the key or the value is longer than the format allows
   */
  public boolean set(String key, byte[] value) {
    if (value == null && !table.values().containsKey(key)) {
      return true;
    }
    if (failed || (value != null && table.bytesWith(key, value) > maxTableBytes)) {
      return false;
    }
    long sequence = table.sequence() + 1;
    byte[] record =
        value == null
            ? FileFormat.encodeRecord(RecordType.REMOVE, sequence, key, NO_VALUE)
            : FileFormat.encodeRecord(RecordType.PUT, sequence, key, value);
    table.apply(sequence, key, value);
    try {
      log.append(record);
    } catch (IOException e) {
      continueInNewSegment();
    }
    return !failed;
  }

  /**
   * Makes all changes before it durable, and takes a snapshot if one is due.
   *
   * @return false if the store has failed
   */
  public boolean sync() {
    if (failed) {
      return false;
    }
    try {
      log.sync();
      if (log.segmentBytes() > maxSegmentBytes) {
        snapshot();
      }
    } catch (IOException e) {
      continueInNewSegment();
    }
    return !failed;
  }

  private void continueInNewSegment() {
    try {
      log.recoverFromFault();
    } catch (IOException e) {
      failed = true;
    }
  }

  /**
   * Compacts the store: writes the whole table as a snapshot, begins a new segment, and deletes the
   * files that are redundant then.
   */
  public void snapshot() throws IOException {
    compaction.writeSnapshot(table);
    log.rollOver();
    compaction.deleteRedundantFiles(log.segment());
  }

  /** Syncs, closes the files and releases the lock. */
  @Override
  public void close() throws IOException {
    if (log.isStarted()) {
      sync();
      log.closeSegment();
    }
    directory.close();
  }
}
