package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A small table that survives crashes: every change is a record of an append-only log; now and then
 * all of the table is written as a snapshot and the log before it dropped. One thread uses it. What
 * was synced is found again after any crash; of what was not, a prefix.
 */
public final class DurableTable implements Closeable {
  private static final int GENERATIONS = 2;
  private static final int FILE_MOST = 1 << 28;
  private static final int ASIDE_MOST = 4;

  private final StorageDirectory disk;
  private final long owner;
  private final long segmentMost;
  private final long maxBytes;
  private final NavigableMap<String, byte[]> values = new TreeMap<>();
  private final List<String> told = new ArrayList<>();
  private RecoveryReport found;
  private long sequence;
  private long segment;
  private StorageDirectory.Out out;
  private long segmentBytes;
  private long tableBytes;

  /** What was appended since the last good sync: written anew if a sync fails. */
  private final List<byte[]> unsynced = new ArrayList<>();

  private boolean failed = true;

  /**
   * @param owner whose store it is; one of another owner is not touched
   * @param segmentMost bytes of log after which a snapshot is due
   * @param bytesMost bytes that keys and values may take together
   */
  public DurableTable(StorageDirectory disk, long owner, long segmentMost, long maxBytes) {
    this.disk = disk;
    this.owner = owner;
    this.segmentMost = segmentMost;
    this.maxBytes = maxBytes;
  }

  // ---- recovery ----

  /**
   * Finds what was kept. Whatever it finds it returns: a store that can't be used is told of, not
   * thrown.
   */
  public RecoveryReport open() {
    try {
      if (!disk.lock()) {
        return found =
            new RecoveryReport(
                RecoveryReport.State.LOCKED, List.of("another process has the store"));
      }
      found = recover();
    } catch (IOException e) {
      found =
          new RecoveryReport(
              RecoveryReport.State.FOREIGN, List.of("the store can't be read: " + e.getMessage()));
    }
    failed = !found.usable();
    return found;
  }

  private RecoveryReport recover() throws IOException {
    List<String> names = disk.list();
    List<Long> snapshots = numbers(names, FileFormat.SNAPSHOT);
    List<Long> segments = numbers(names, FileFormat.LOG);
    for (String name : names) {
      FileFormat.Head head =
          name.startsWith(FileFormat.LOG) || name.startsWith(FileFormat.SNAPSHOT)
              ? FileFormat.head(disk.read(name, FileFormat.HEAD))
              : null;
      if (head != null && head.version() > FileFormat.VERSION) {
        return new RecoveryReport(
            RecoveryReport.State.FOREIGN,
            List.of(
                name
                    + " is of version "
                    + head.version()
                    + " of the format; this release reads up to "
                    + FileFormat.VERSION));
      }
      if (head != null && head.store() != owner) {
        return new RecoveryReport(
            RecoveryReport.State.FOREIGN, List.of(name + " belongs to another store"));
      }
    }
    for (String name : names) {
      if (name.startsWith(FileFormat.DRAFT)) {
        disk.delete(name);
      }
    }
    boolean any = !snapshots.isEmpty() || !segments.isEmpty();
    Collections.reverse(snapshots);
    boolean read = false;
    for (long number : snapshots) {
      if (!read) {
        read = readSnapshot(number);
      }
    }
    boolean gap = false;
    for (long number : segments) {
      gap = gap || !readSegment(number, number == segments.get(segments.size() - 1));
      if (gap) {
        setAside(FileFormat.name(FileFormat.LOG, number));
      }
    }
    segment = Math.max(segments.isEmpty() ? 0 : segments.get(segments.size() - 1), segment);
    begin();
    return new RecoveryReport(
        !any
            ? RecoveryReport.State.NEW
            : told.isEmpty() ? RecoveryReport.State.WHOLE : RecoveryReport.State.CUT,
        List.copyOf(told));
  }

  private static List<Long> numbers(List<String> names, String prefix) {
    List<Long> numbers = new ArrayList<>();
    for (String name : names) {
      long number = FileFormat.number(prefix, name);
      if (number >= 0) {
        numbers.add(number);
      }
    }
    Collections.sort(numbers);
    return numbers;
  }

  private boolean readSnapshot(long number) throws IOException {
    String name = FileFormat.name(FileFormat.SNAPSHOT, number);
    byte[] file = disk.read(name, FILE_MOST);
    FileFormat.Head head = FileFormat.head(file);
    NavigableMap<String, byte[]> all = new TreeMap<>();
    int at = FileFormat.HEAD;
    FileFormat.Entry entry = head == null || !head.snapshot() ? null : FileFormat.entry(file, at);
    while (entry != null && entry.kind() == FileFormat.Kind.PUT) {
      all.put(entry.key(), entry.value());
      at += entry.size();
      entry = FileFormat.entry(file, at);
    }
    if (entry == null || entry.kind() != FileFormat.Kind.END || entry.sequence() != all.size()) {
      told.add(name + " is damaged and was passed over");
      setAside(name);
      return false;
    }
    values.putAll(all);
    tableBytes = all.entrySet().stream().mapToLong(DurableTable::size).sum();
    sequence = number;
    return true;
  }

  /**
   * Reads on; false if what it holds does not follow what was read before. What was cut off may
   * stand again at the start of the next, where a fault of the disk made the writer go on there.
   */
  private boolean readSegment(long number, boolean last) throws IOException {
    String name = FileFormat.name(FileFormat.LOG, number);
    byte[] file = disk.read(name, FILE_MOST);
    FileFormat.Head head = FileFormat.head(file);
    if (head == null) {
      if (!last) {
        told.add(name + " has no head and was set aside");
      }
      setAside(name);
      return true;
    }
    int at = FileFormat.HEAD;
    boolean follows = true;
    for (FileFormat.Entry entry = FileFormat.entry(file, at);
        entry != null;
        entry = FileFormat.entry(file, at)) {
      if (entry.sequence() > sequence + 1) {
        told.add(
            name
                + " begins at "
                + entry.sequence()
                + " where "
                + (sequence + 1)
                + " was wanted; it was set aside with what follows it");
        follows = false;
        break;
      }
      at += entry.size();
      if (entry.sequence() == sequence + 1) {
        apply(entry);
      }
    }
    if (follows && at < file.length) {
      told.add(
          name
              + (last ? ": a tail of " : " is damaged: ")
              + (file.length - at)
              + " bytes was cut off");
      disk.truncate(name, at);
    }
    return follows;
  }

  private void apply(FileFormat.Entry entry) {
    sequence = entry.sequence();
    if (entry.kind() == FileFormat.Kind.PUT) {
      put(entry.key(), entry.value());
    } else {
      take(entry.key());
    }
  }

  private void put(String key, byte[] value) {
    byte[] before = values.put(key, value);
    tableBytes += size(key, value) - (before == null ? 0 : size(key, before));
  }

  private void take(String key) {
    byte[] before = values.remove(key);
    tableBytes -= before == null ? 0 : size(key, before);
  }

  private static long size(Map.Entry<String, byte[]> entry) {
    return size(entry.getKey(), entry.getValue());
  }

  private static long size(String key, byte[] value) {
    return key.length() + value.length + FileFormat.RECORD_HEAD + 2;
  }

  /** What can't be used is kept for people to look at, the latest few of it. */
  private void setAside(String name) throws IOException {
    disk.rename(name, FileFormat.ASIDE + name);
    List<String> aside =
        disk.list().stream().filter(other -> other.startsWith(FileFormat.ASIDE)).toList();
    for (int i = 0; i < aside.size() - ASIDE_MOST; i++) {
      disk.delete(aside.get(i));
    }
  }

  // ---- use ----

  /** What recovery found. */
  public RecoveryReport found() {
    return found;
  }

  public NavigableMap<String, byte[]> values() {
    return Collections.unmodifiableNavigableMap(values);
  }

  public long sequence() {
    return sequence;
  }

  /** A write or sync failed for good: nothing more is kept, what is in memory goes on. */
  public boolean hasFailed() {
    return failed;
  }

  /**
   * Changes the table and writes the change; it is kept after the next {@link #sync}.
   *
   * @param value null removes the key
   * @return false if the table would grow beyond its bound, or nothing is kept any more
   */
  public boolean set(String key, byte[] value) {
    byte[] before = values.get(key);
    long grown =
        tableBytes
            + (value == null ? 0 : size(key, value))
            - (before == null ? 0 : size(key, before));
    if (failed || value != null && grown > maxBytes || value == null && before == null) {
      return value == null && before == null;
    }
    byte[] record =
        FileFormat.entry(
            value == null ? FileFormat.Kind.REMOVE : FileFormat.Kind.PUT,
            sequence + 1,
            key,
            value == null ? new byte[0] : value);
    sequence++;
    if (value == null) {
      take(key);
    } else {
      put(key, value);
    }
    unsynced.add(record);
    segmentBytes += record.length;
    try {
      out.write(record);
    } catch (IOException e) {
      startOver(e);
    }
    return !failed;
  }

  /** All that was set before is kept once this returns true. */
  public boolean sync() {
    if (failed) {
      return false;
    }
    try {
      out.sync();
      unsynced.clear();
      if (segmentBytes > segmentMost) {
        snapshot();
      }
    } catch (IOException e) {
      startOver(e);
    }
    return !failed;
  }

  /**
   * After a fault of the disk nothing that was written since the last good sync is taken as kept,
   * and that file is not written to again: all of it goes to a new one, once. Guards against a sync
   * that fails, drops what it could not write, and then succeeds.
   */
  private void startOver(IOException fault) {
    try {
      closeOut();
      begin();
      for (byte[] record : unsynced) {
        out.write(record);
      }
      out.sync();
      unsynced.clear();
    } catch (IOException e) {
      failed = true;
      e.addSuppressed(fault);
    }
  }

  /** A new segment. */
  private void begin() throws IOException {
    segment++;
    out = disk.create(FileFormat.name(FileFormat.LOG, segment));
    out.write(FileFormat.head(new FileFormat.Head(false, FileFormat.VERSION, owner, segment)));
    out.sync();
    disk.syncFolder();
    segmentBytes = FileFormat.HEAD;
  }

  /**
   * Writes all of the table, and drops what it makes needless: the log and the snapshots before the
   * last two.
   */
  public void snapshot() throws IOException {
    String draft = FileFormat.name(FileFormat.DRAFT, sequence);
    try (StorageDirectory.Out file = disk.create(draft)) {
      file.write(FileFormat.head(new FileFormat.Head(true, FileFormat.VERSION, owner, sequence)));
      for (Map.Entry<String, byte[]> entry : values.entrySet()) {
        file.write(
            FileFormat.entry(FileFormat.Kind.PUT, sequence, entry.getKey(), entry.getValue()));
      }
      file.write(FileFormat.entry(FileFormat.Kind.END, values.size(), "", new byte[0]));
      file.sync();
    }
    disk.rename(draft, FileFormat.name(FileFormat.SNAPSHOT, sequence));
    disk.syncFolder();
    closeOut();
    begin();
    dropOld();
  }

  /** Nothing is dropped that the older of the snapshots which stay would need. */
  private void dropOld() throws IOException {
    List<String> names = disk.list();
    List<Long> snapshots = numbers(names, FileFormat.SNAPSHOT);
    if (snapshots.size() < GENERATIONS) {
      return;
    }
    long oldest = snapshots.get(snapshots.size() - GENERATIONS);
    for (long number : snapshots) {
      if (number < oldest) {
        disk.delete(FileFormat.name(FileFormat.SNAPSHOT, number));
      }
    }
    List<Long> segments = numbers(names, FileFormat.LOG);
    for (int i = 0; i + 1 < segments.size(); i++) {
      long next = segments.get(i + 1);
      if (next < segment && lastBefore(next) <= oldest) {
        disk.delete(FileFormat.name(FileFormat.LOG, segments.get(i)));
      }
    }
  }

  /** The sequence with which the segments before that one end: one less than its first record's. */
  private long lastBefore(long number) throws IOException {
    byte[] file =
        disk.read(
            FileFormat.name(FileFormat.LOG, number),
            FileFormat.HEAD + 64 + FileFormat.KEY_MOST + FileFormat.VALUE_MOST);
    FileFormat.Entry first = FileFormat.entry(file, FileFormat.HEAD);
    return first == null ? Long.MAX_VALUE : first.sequence() - 1;
  }

  private void closeOut() {
    try {
      out.close();
    } catch (IOException e) {
      // What was synced is kept; the rest was not promised.
    }
  }

  @Override
  public void close() throws IOException {
    if (out != null) {
      sync();
      closeOut();
    }
    disk.close();
  }
}
