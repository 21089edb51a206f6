package tillerlink.store;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tillerlink.store.FileFormat.Header;
import tillerlink.store.FileFormat.LogRecord;
import tillerlink.store.FileFormat.RecordType;

/** Writes snapshots of a table and deletes the files that the snapshots make redundant. */
final class Compaction {
  private static final int RETAINED_SNAPSHOTS = 2;

  /**
   * The number of bytes read from the start of a segment to decode its first record. The 64 bytes
   * leave room for the record's own fields beside its key and value.
   */
  private static final int MAX_FIRST_RECORD_BYTES =
      FileFormat.HEADER_BYTES + 64 + FileFormat.MAX_KEY_BYTES + FileFormat.MAX_VALUE_BYTES;

  private final StorageDirectory directory;
  private final long owner;

  Compaction(StorageDirectory directory, long owner) {
    this.directory = directory;
    this.owner = owner;
  }

  /**
   * Writes all entries to a snapshot file. The file has a temporary name until it is durable, so
   * that a crash cannot leave an incomplete file under a snapshot's name.
   */
  void writeSnapshot(TableState table) throws IOException {
    long sequence = table.sequence();
    String temporaryName = FileFormat.fileName(FileFormat.UNFINISHED_SNAPSHOT_PREFIX, sequence);
    try (StorageDirectory.AppendOnlyFile file = directory.create(temporaryName)) {
      file.write(FileFormat.encodeHeader(new Header(true, FileFormat.VERSION, owner, sequence)));
      for (Map.Entry<String, byte[]> entry : table.values().entrySet()) {
        file.write(
            FileFormat.encodeRecord(RecordType.PUT, sequence, entry.getKey(), entry.getValue()));
      }
      int entries = table.values().size();
      file.write(FileFormat.encodeRecord(RecordType.SNAPSHOT_END, entries, "", new byte[0]));
      file.sync();
    }
    directory.rename(temporaryName, FileFormat.fileName(FileFormat.SNAPSHOT_PREFIX, sequence));
    directory.syncDirectory();
  }

  /**
   * Deletes all snapshots except the latest two, and the segments that neither of these needs for
   * recovery. Does nothing while there are fewer than two snapshots.
   *
   * @param currentSegment the number of the segment that is being written
   */
  void deleteRedundantFiles(long currentSegment) throws IOException {
    List<String> names = directory.list();
    List<Long> snapshots = Recovery.fileNumbers(names, FileFormat.SNAPSHOT_PREFIX);
    if (snapshots.size() < RETAINED_SNAPSHOTS) {
      return;
    }
    long oldestRetained = snapshots.get(snapshots.size() - RETAINED_SNAPSHOTS);
    for (long number : snapshots) {
      if (number < oldestRetained) {
        directory.delete(FileFormat.fileName(FileFormat.SNAPSHOT_PREFIX, number));
      }
    }
    List<Long> segments = Recovery.fileNumbers(names, FileFormat.SEGMENT_PREFIX);
    for (int i = 0; i + 1 < segments.size(); i++) {
      long nextSegment = segments.get(i + 1);
      if (nextSegment < currentSegment && lastSequenceBefore(nextSegment) <= oldestRetained) {
        directory.delete(FileFormat.fileName(FileFormat.SEGMENT_PREFIX, segments.get(i)));
      }
    }
  }

  /**
   * Returns the sequence of the last record before a segment.
   *
   * @return the sequence, or {@link Long#MAX_VALUE} if the first record of the segment is missing
   *     or corrupt
   */
  private long lastSequenceBefore(long segment) throws IOException {
    String name = FileFormat.fileName(FileFormat.SEGMENT_PREFIX, segment);
    byte[] firstBytes = directory.read(name, MAX_FIRST_RECORD_BYTES);
    Optional<LogRecord> first = FileFormat.decodeRecord(firstBytes, FileFormat.HEADER_BYTES);
    return first.map(record -> record.sequence() - 1).orElse(Long.MAX_VALUE);
  }
}
