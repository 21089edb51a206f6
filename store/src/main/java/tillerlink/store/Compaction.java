package tillerlink.store;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tillerlink.store.FileFormat.Header;
import tillerlink.store.FileFormat.LogRecord;
import tillerlink.store.FileFormat.RecordType;

/** Writes snapshots of a table and deletes the files that they make redundant. */
final class Compaction {
  private static final int SNAPSHOTS_KEPT = 2;

  /** What is read of a segment to decode its first record. */
  private static final int MAX_FIRST_RECORD_BYTES =
      FileFormat.HEADER_BYTES + 64 + FileFormat.MAX_KEY_BYTES + FileFormat.MAX_VALUE_BYTES;

  private final StorageDirectory directory;
  private final long owner;

  Compaction(StorageDirectory directory, long owner) {
    this.directory = directory;
    this.owner = owner;
  }

  /** Writes all entries under a temporary name and renames the file once it is durable. */
  void writeSnapshot(TableState table) throws IOException {
    long sequence = table.sequence();
    String unfinished = FileFormat.fileName(FileFormat.UNFINISHED_SNAPSHOT_PREFIX, sequence);
    try (StorageDirectory.AppendOnlyFile file = directory.create(unfinished)) {
      file.write(FileFormat.encodeHeader(new Header(true, FileFormat.VERSION, owner, sequence)));
      for (Map.Entry<String, byte[]> entry : table.values().entrySet()) {
        file.write(
            FileFormat.encodeRecord(RecordType.PUT, sequence, entry.getKey(), entry.getValue()));
      }
      int entries = table.values().size();
      file.write(FileFormat.encodeRecord(RecordType.SNAPSHOT_END, entries, "", new byte[0]));
      file.sync();
    }
    directory.rename(unfinished, FileFormat.fileName(FileFormat.SNAPSHOT_PREFIX, sequence));
    directory.syncDirectory();
  }

  /**
   * Deletes all snapshots but the latest two, and the segments that neither of these needs.
   *
   * @param currentSegment the one that is being written
   */
  void deleteRedundantFiles(long currentSegment) throws IOException {
    List<String> names = directory.list();
    List<Long> snapshots = Recovery.fileNumbers(names, FileFormat.SNAPSHOT_PREFIX);
    if (snapshots.size() < SNAPSHOTS_KEPT) {
      return;
    }
    long oldestKept = snapshots.get(snapshots.size() - SNAPSHOTS_KEPT);
    for (long number : snapshots) {
      if (number < oldestKept) {
        directory.delete(FileFormat.fileName(FileFormat.SNAPSHOT_PREFIX, number));
      }
    }
    List<Long> segments = Recovery.fileNumbers(names, FileFormat.SEGMENT_PREFIX);
    for (int i = 0; i + 1 < segments.size(); i++) {
      long next = segments.get(i + 1);
      if (next < currentSegment && lastSequenceBefore(next) <= oldestKept) {
        directory.delete(FileFormat.fileName(FileFormat.SEGMENT_PREFIX, segments.get(i)));
      }
    }
  }

  /** The sequence of the last record before a segment; the largest number if it has no records. */
  private long lastSequenceBefore(long segment) throws IOException {
    String name = FileFormat.fileName(FileFormat.SEGMENT_PREFIX, segment);
    byte[] start = directory.read(name, MAX_FIRST_RECORD_BYTES);
    Optional<LogRecord> first = FileFormat.decodeRecord(start, FileFormat.HEADER_BYTES);
    return first.map(record -> record.sequence() - 1).orElse(Long.MAX_VALUE);
  }
}
