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
 * Reads a store's files into a table when it is opened: the latest snapshot that is intact, then
 * the segments in their order. Truncates a torn tail and sets aside what can't be used.
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
   * @param table empty; filled with what is read
   */
  Recovery(StorageDirectory directory, long owner, TableState table) {
    this.directory = directory;
    this.owner = owner;
    this.table = table;
  }

  /**
   * Looks at the headers of the files for one of another owner or of a later version, in which case
   * none may be touched.
   *
   * @param names the names of all files
   * @return what is wrong; empty if the files may be read
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
   * Fills the table.
   *
   * @param names the names of all files
   * @return the number of the last segment, 0 if there is none
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

  /** The report for a store that was read. */
  RecoveryReport report() {
    RecoveryReport.State state =
        warnings.isEmpty() ? RecoveryReport.State.WHOLE : RecoveryReport.State.CUT;
    return new RecoveryReport(empty ? RecoveryReport.State.NEW : state, List.copyOf(warnings));
  }

  /** The numbers of the files with that prefix, ascending. */
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
    Optional<LogRecord> next =
        FileFormat.decodeHeader(file).filter(Header::snapshot).isPresent()
            ? FileFormat.decodeRecord(file, offset)
            : Optional.empty();
    while (next.isPresent() && next.get().type() == RecordType.PUT) {
      entries.put(next.get().key(), next.get().value());
      offset += next.get().bytes();
      next = FileFormat.decodeRecord(file, offset);
    }
    boolean complete =
        next.filter(last -> last.type() == RecordType.SNAPSHOT_END)
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
    boolean gap = false;
    for (int i = 0; i < segments.size(); i++) {
      gap = gap || !readSegment(segments.get(i), i == segments.size() - 1);
      if (gap) {
        quarantine(FileFormat.fileName(FileFormat.SEGMENT_PREFIX, segments.get(i)));
      }
    }
  }

  /**
   * Applies the records of a segment. Those that were applied already are skipped: after a fault of
   * the disk the log goes on in a new segment with the records of the old one that were not synced.
   *
   * @return false if a record is missing before one of this segment
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
    Optional<LogRecord> next = FileFormat.decodeRecord(file, offset);
    while (next.isPresent()) {
      LogRecord record = next.get();
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
      next = FileFormat.decodeRecord(file, offset);
    }
    truncateAfter(name, offset, file.length, last);
    return true;
  }

  private void truncateAfter(String name, int validBytes, int fileBytes, boolean last)
      throws IOException {
    if (validBytes < fileBytes) {
      String what = last ? ": truncated an invalid tail of " : " is corrupt: truncated the last ";
      warnings.add(name + what + (fileBytes - validBytes) + " bytes");
      directory.truncate(name, validBytes);
    }
  }

  /** Keeps a file that can't be used for people to look at, and no more than a few of them. */
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
