package tillerlink.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import tillerlink.store.FileFormat.Header;
import tillerlink.store.FileFormat.LogRecord;
import tillerlink.store.FileFormat.RecordType;

/**
 * Recovery of a table from the files of a store: reads the latest intact snapshot, then the
 * segments in ascending order. Truncates an incomplete or corrupt tail of a segment and quarantines
 * files that cannot be used.
 */
final class Recovery {
  private static final int MAX_FILE_BYTES = 1 << 28;
  private static final int MAX_QUARANTINED_FILES = 4;

  private final StorageDirectory directory;
  private final long owner;
  private final TableState table;
  private final List<String> warnings = new ArrayList<>();
  private boolean empty;

  /**
   * Creates a recovery, to be run once.
   *
   * @param owner the identifier that the headers of the files must contain
   * @param table the empty table to fill
   */
  Recovery(StorageDirectory directory, long owner, TableState table) {
    this.directory = directory;
    this.owner = owner;
    this.table = table;
  }

  /**
   * Checks the headers of all files for another owner or a later format version. If there is one,
   * no file of the store may be changed.
   *
   * @param names the names of all files
   * @return the reason why the store must not be used, or empty if it may be read
   */
  Optional<String> findForeignFile(List<String> names) throws IOException {
    for (String name : names) {
      boolean isData =
          name.startsWith(FileFormat.SEGMENT_PREFIX) || name.startsWith(FileFormat.SNAPSHOT_PREFIX);
      Optional<String> reason =
          isData
              ? FileFormat.decodeHeader(directory.read(name, FileFormat.HEADER_BYTES))
                  .flatMap(header -> foreign(name, header))
              : Optional.empty();
      if (reason.isPresent()) {
        return reason;
      }
    }
    return Optional.empty();
  }

  private Optional<String> foreign(String name, Header header) {
    if (header.version() > FileFormat.VERSION) {
      return Optional.of(
          name
              + " has format version "
              + header.version()
              + "; this release supports versions up to "
              + FileFormat.VERSION);
    }
    return header.owner() == owner
        ? Optional.empty()
        : Optional.of(
            name + " belongs to another store: owner " + header.owner() + ", expected " + owner);
  }

  /**
   * Deletes unfinished snapshots and fills the table from the other files.
   *
   * @param names the names of all files
   * @return the number of the last segment, or 0 if there is no segment
   */
  long run(List<String> names) throws IOException {
    for (String name : names) {
      if (name.startsWith(FileFormat.UNFINISHED_SNAPSHOT_PREFIX)) {
        directory.delete(name);
      }
    }
    List<Long> snapshots = fileNumbers(names, FileFormat.SNAPSHOT_PREFIX);
    List<Long> segments = fileNumbers(names, FileFormat.SEGMENT_PREFIX);
    empty = snapshots.isEmpty() && segments.isEmpty();
    readLatestSnapshot(snapshots);
    readSegments(segments);
    return segments.isEmpty() ? 0 : segments.get(segments.size() - 1);
  }

  /** Returns the report on a store that was read by {@link #run}. */
  RecoveryReport report() {
    RecoveryReport.State state =
        warnings.isEmpty() ? RecoveryReport.State.WHOLE : RecoveryReport.State.CUT;
    return new RecoveryReport(empty ? RecoveryReport.State.NEW : state, List.copyOf(warnings));
  }

  /** Returns the numbers of the files with the given prefix in ascending order. */
  static List<Long> fileNumbers(List<String> names, String prefix) {
    return names.stream()
        .map(name -> FileFormat.fileNumber(prefix, name))
        .filter(number -> number >= 0)
        .sorted()
        .toList();
  }

  private void readLatestSnapshot(List<Long> snapshots) throws IOException {
    List<Long> latestFirst = new ArrayList<>(snapshots);
    Collections.reverse(latestFirst);
    for (long number : latestFirst) {
      if (readSnapshot(number)) {
        return;
      }
    }
  }

  private boolean readSnapshot(long number) throws IOException {
    String name = FileFormat.fileName(FileFormat.SNAPSHOT_PREFIX, number);
    byte[] file = directory.read(name, MAX_FILE_BYTES);
    TreeMap<String, byte[]> entries = new TreeMap<>();
    int offset = FileFormat.HEADER_BYTES;
    Optional<LogRecord> decoded =
        FileFormat.decodeHeader(file).filter(Header::snapshot).isPresent()
            ? FileFormat.decodeRecord(file, offset)
            : Optional.empty();
    while (decoded.isPresent() && decoded.get().type() == RecordType.PUT) {
      entries.put(decoded.get().key(), decoded.get().value());
      offset += decoded.get().bytes();
      decoded = FileFormat.decodeRecord(file, offset);
    }
    boolean complete =
        decoded
            .filter(last -> last.type() == RecordType.SNAPSHOT_END)
            .filter(last -> last.sequence() == entries.size())
            .isPresent();
    if (!complete) {
      warnings.add(name + " is corrupt or incomplete; quarantined");
      quarantine(name);
      return false;
    }
    table.load(number, entries);
    return true;
  }

  private void readSegments(List<Long> segments) throws IOException {
    boolean gapFound = false;
    for (int i = 0; i < segments.size(); i++) {
      gapFound = gapFound || !readSegment(segments.get(i), i == segments.size() - 1);
      if (gapFound) {
        quarantine(FileFormat.fileName(FileFormat.SEGMENT_PREFIX, segments.get(i)));
      }
    }
  }

  /**
   * Applies the records of a segment. Skips records that were already applied: after a disk fault
   * the log continues in a new segment that repeats the unsynced records of the old one.
   *
   * @param last whether this is the last segment, in which a crash may leave an incomplete tail
   * @return false if a record of this segment does not follow the last one applied, because records
   *     in between are missing
   */
  private boolean readSegment(long number, boolean last) throws IOException {
    String name = FileFormat.fileName(FileFormat.SEGMENT_PREFIX, number);
    byte[] file = directory.read(name, MAX_FILE_BYTES);
    if (FileFormat.decodeHeader(file).isEmpty()) {
      if (!last) {
        warnings.add(name + " has no valid header; quarantined");
      }
      quarantine(name);
      return true;
    }
    int offset = FileFormat.HEADER_BYTES;
    Optional<LogRecord> decoded = FileFormat.decodeRecord(file, offset);
    while (decoded.isPresent()) {
      LogRecord record = decoded.get();
      long expected = table.sequence() + 1;
      if (record.sequence() > expected) {
        warnings.add(
            name
                + ": found sequence "
                + record.sequence()
                + ", expected "
                + expected
                + "; quarantined with all later segments");
        return false;
      }
      offset += record.bytes();
      if (record.sequence() == expected) {
        table.apply(
            expected, record.key(), record.type() == RecordType.PUT ? record.value() : null);
      }
      decoded = FileFormat.decodeRecord(file, offset);
    }
    truncateAfter(name, offset, file.length, last);
    return true;
  }

  private void truncateAfter(String name, int validBytes, int fileBytes, boolean last)
      throws IOException {
    if (validBytes < fileBytes) {
      String finding =
          last ? ": truncated an invalid tail of " : " is corrupt: truncated the last ";
      warnings.add(name + finding + (fileBytes - validBytes) + " bytes");
      directory.truncate(name, validBytes);
    }
  }

  /**
   * Renames an unusable file so that it is available for diagnosis, and deletes the first of the
   * quarantined files by name when there are too many, which bounds the disk usage.
   */
  private void quarantine(String name) throws IOException {
    directory.rename(name, FileFormat.QUARANTINE_PREFIX + name);
    List<String> quarantined =
        directory.list().stream()
            .filter(other -> other.startsWith(FileFormat.QUARANTINE_PREFIX))
            .toList();
    for (int i = 0; i < quarantined.size() - MAX_QUARANTINED_FILES; i++) {
      directory.delete(quarantined.get(i));
    }
  }
}
