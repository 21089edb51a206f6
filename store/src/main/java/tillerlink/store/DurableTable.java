package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import tillerlink.store.FileFormat.RecordType;

/**
 * A small key-value table in memory that survives crashes. Every change is appended to a
 * write-ahead log. When the current segment of the log exceeds a bound, the whole table is written
 * as a snapshot and the segments that are no longer needed are deleted. After a crash, recovery
 * restores all changes that were synced and a prefix of the changes after the last sync. Not
 * thread-safe.
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
   * Creates a table that must be opened with {@link #open} before use.
   *
   * @param directory the directory of the store; {@link #close} closes it
   * @param owner the identifier of the store's owner; files of another owner are not changed
   * @param maxSegmentBytes the length of a log segment beyond which {@link #sync} takes a snapshot
   * @param maxTableBytes the maximum size of all keys and values together, including a fixed
   *     overhead for each entry
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
   * Locks the directory, recovers the table from its files and starts a new segment. Must be called
   * once, before any other method. Throws no exception for an unusable store or an I/O error; the
   * report describes them instead.
   *
   * @return the result of recovery
   */
  public RecoveryReport open() {
    try {
      recoveryReport =
          directory.tryLock()
              ? recover()
              : new RecoveryReport(
                  RecoveryReport.State.LOCKED, List.of("another process has the store"));
    } catch (IOException e) {
      recoveryReport = foreignReport("cannot read the store: " + e.getMessage());
    }
    failed = !recoveryReport.usable();
    return recoveryReport;
  }

  private RecoveryReport recover() throws IOException {
    List<String> names = directory.list();
    Recovery recovery = new Recovery(directory, owner, table);
    Optional<String> foreignFile = recovery.findForeignFile(names);
    if (foreignFile.isPresent()) {
      return foreignReport(foreignFile.get());
    }
    log.startAfter(recovery.run(names));
    return recovery.report();
  }

  private static RecoveryReport foreignReport(String reason) {
    return new RecoveryReport(RecoveryReport.State.FOREIGN, List.of(reason));
  }

  /** Returns the report of {@link #open}, or null before that call. */
  public RecoveryReport recoveryReport() {
    return recoveryReport;
  }

  /** Returns a live, unmodifiable view of all entries. */
  public NavigableMap<String, byte[]> values() {
    return table.values();
  }

  /**
   * Returns the sequence of the last change. Changes are numbered from 1 over the whole lifetime of
   * the store, across restarts; 0 means that there was no change.
   */
  public long sequence() {
    return table.sequence();
  }

  /**
   * Returns whether the store is unusable: it is not open, recovery could not use it, or a write or
   * sync failed and so did its repetition in a new segment. From then on changes are rejected, and
   * the entries in memory no longer change.
   */
  public boolean hasFailed() {
    return failed;
  }

  /**
   * Changes the table and appends the change to the log. The change is durable after the next
   * successful {@link #sync}.
   *
   * @param key the key to change
   * @param value the new value; null removes the key
   * @return false if the table would exceed its size limit or the store has failed; always true for
   *     the removal of a key that is absent, which changes nothing
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
   * Makes all previous changes durable and takes a snapshot if the current segment is too long.
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
   * Compacts the store: writes the whole table as a snapshot, starts a new segment and deletes the
   * files that have become redundant.
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
