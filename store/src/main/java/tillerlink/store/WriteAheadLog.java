package tillerlink.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The append-only log of changes, in numbered segments. A segment that was left for another one is
 * not written to again.
 */
final class WriteAheadLog {
  private final StorageDirectory directory;
  private final long owner;

  /** Records appended since the last successful sync; written again if a write or sync fails. */
  private final List<byte[]> unsynced = new ArrayList<>();

  private long segment;
  private long segmentBytes;

  /** The current segment; null until the first one was created. */
  private StorageDirectory.AppendOnlyFile file;

  WriteAheadLog(StorageDirectory directory, long owner) {
    this.directory = directory;
    this.owner = owner;
  }

  /** The number of the current segment. */
  long segment() {
    return segment;
  }

  /** How long the current segment is, without what was written again after a fault. */
  long segmentBytes() {
    return segmentBytes;
  }

  /** Creates the first segment of this process, after the last one that was found. */
  void startAfter(long lastSegment) throws IOException {
    segment = lastSegment;
    startSegment();
  }

  /** Leaves the current segment and begins a new one. */
  void rollOver() throws IOException {
    closeSegment();
    startSegment();
  }

  private void startSegment() throws IOException {
    segment++;
    file = directory.create(FileFormat.fileName(FileFormat.SEGMENT_PREFIX, segment));
    FileFormat.Header header = new FileFormat.Header(false, FileFormat.VERSION, owner, segment);
    file.write(FileFormat.encodeHeader(header));
    file.sync();
    directory.syncDirectory();
    segmentBytes = FileFormat.HEADER_BYTES;
  }

  /** Appends a record; it is durable after the next {@link #sync}. */
  void append(byte[] record) throws IOException {
    unsynced.add(record);
    segmentBytes += record.length;
    file.write(record);
  }

  void sync() throws IOException {
    file.sync();
    unsynced.clear();
  }

  /**
   * Continues after a failed write or sync. None of the records since the last successful sync
   * counts as durable: all of them go to a new segment, and the failed one is not written to again.
   * This guards against an fsync that fails, drops the dirty pages, and succeeds the next time.
   */
  void recoverFromFault() throws IOException {
    rollOver();
    for (byte[] record : unsynced) {
      file.write(record);
    }
    sync();
  }

  boolean isStarted() {
    return file != null;
  }

  void closeSegment() {
    try {
      file.close();
    } catch (IOException e) {
      // What was synced is durable; the rest was not promised.
    }
  }
}
