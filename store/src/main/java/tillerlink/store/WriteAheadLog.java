package tillerlink.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The append-only log of changes, divided into numbered segments. Only the latest segment is
 * written to.
 */
final class WriteAheadLog {
  private final StorageDirectory directory;
  private final long owner;

  /**
   * The records appended since the last successful sync. They are written again, to a new segment,
   * if a write or sync fails.
   */
  private final List<byte[]> unsynced = new ArrayList<>();

  private long segment;
  private long segmentBytes;

  /** The file of the current segment; null until the first one is created. */
  private StorageDirectory.AppendOnlyFile file;

  WriteAheadLog(StorageDirectory directory, long owner) {
    this.directory = directory;
    this.owner = owner;
  }

  /** Returns the number of the current segment. */
  long segment() {
    return segment;
  }

  /**
   * Returns the length of the current segment in bytes, without the records that were written again
   * after a fault.
   */
  long segmentBytes() {
    return segmentBytes;
  }

  /**
   * Creates the first segment of this process.
   *
   * @param lastSegment the number of the last existing segment, or 0 if there is none
   */
  void startAfter(long lastSegment) throws IOException {
    segment = lastSegment;
    startSegment();
  }

  /** Closes the current segment and starts a new one. */
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

  /** Appends a record, which is durable after the next successful {@link #sync}. */
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
   * Continues after a failed write or sync. None of the records since the last successful sync is
   * assumed to be durable: all of them are written to a new segment, and the failed segment is not
   * written to again. This guards against an fsync that fails, drops the dirty pages and succeeds
   * the next time.
   *
   * @throws IOException if the new segment cannot be written either
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
      // Synced records are durable, and the others were never acknowledged.
    }
  }
}
