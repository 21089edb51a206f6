package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.CommandCodec;
import tillerlink.messages.statements.Entry;

/**
 * The log of a voter: a snapshot, the entries after it, and up to {@value #ENTRIES_RETAINED}
 * entries before it that the snapshot already covers.
 */
final class Log {
  /** Prefix of the keys of stored entries; part of the stored format. */
  private static final String ENTRY_PREFIX = "log/";

  /** Key of the stored snapshot; part of the stored format. */
  private static final String SNAPSHOT_KEY = "snapshot";

  /** Number of entries applied since the last snapshot at which a new one is taken. */
  private static final int ENTRIES_PER_SNAPSHOT = 256;

  /**
   * Number of entries that stay in the log although a snapshot covers them, so that voters that are
   * only slightly behind do not need the snapshot.
   */
  private static final int ENTRIES_RETAINED = 64;

  private static final int ENTRIES_PER_APPEND_MAX = 128;

  /** Upper bound on the bytes that the framing of an entry takes in a message. */
  private static final int ENTRY_OVERHEAD = 8;

  private static final long UNKNOWN_TERM = -1;

  private final DurableState durable;
  private final List<Entry> entries = new ArrayList<>();

  /** The number of the write of each entry to the store, in the order of {@link #entries}. */
  private final List<Long> writes = new ArrayList<>();

  private Snapshot snapshot;
  private byte[] snapshotBytes;
  private long base;
  private long baseTerm;
  private long durableIndex;

  Log(DurableState durable, Snapshot empty) throws MalformedMessageException {
    this.durable = durable;
    byte[] stored = durable.initialEntries().get(SNAPSHOT_KEY);
    snapshot = stored == null ? empty : Snapshot.read(stored);
    snapshotBytes = snapshot.write();
    base = snapshot.base();
    baseTerm = snapshot.baseTerm();
    for (Map.Entry<String, byte[]> each :
        durable.initialEntries().tailMap(ENTRY_PREFIX, false).entrySet()) {
      if (!each.getKey().startsWith(ENTRY_PREFIX)) {
        break;
      }
      Entry entry = CommandCodec.entry(new FieldReader(each.getValue()));
      if (entry.index() == lastIndex() + 1 && entry.term() >= lastTerm()) {
        entries.add(entry);
        writes.add(0L);
      }
    }
    durableIndex = lastIndex();
  }

  // ---- reading ----

  long lastIndex() {
    return base + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  /** Returns the index before the first entry in the log. */
  long base() {
    return base;
  }

  /** Returns the term of the entry at an index; -1 if the entry is not in the log. */
  long termAt(long index) {
    if (index == base) {
      return baseTerm;
    }
    return index < base || index > lastIndex() ? UNKNOWN_TERM : get(index).term();
  }

  Entry get(long index) {
    return entries.get((int) (index - base - 1));
  }

  Snapshot snapshot() {
    return snapshot;
  }

  byte[] snapshotBytes() {
    return snapshotBytes;
  }

  /** Returns the index up to which the log is durable, so that it would survive a crash. */
  long durableIndex() {
    while (durableIndex < lastIndex()
        && writes.get((int) (durableIndex - base)) <= durable.durableWrite()) {
      durableIndex++;
    }
    return durableIndex;
  }

  /**
   * Returns whether a log that ends at a position is at least as up to date as one that ends at
   * another position. The terms are compared first, then the indexes.
   */
  static boolean isAtLeastAsUpToDate(long term, long index, long otherTerm, long otherIndex) {
    return term > otherTerm || (term == otherTerm && index >= otherIndex);
  }

  /**
   * Returns the entries from one index to another that fit into one message; at least one unless
   * the range is empty.
   *
   * @param index the index of the first entry
   * @param upTo the index of the last entry
   * @param maxBytes the limit on the encoded size; a single larger entry is returned nevertheless
   */
  List<Entry> entriesFrom(long index, long upTo, int maxBytes) {
    List<Entry> fitting = new ArrayList<>();
    int bytes = 0;
    for (long i = index; i <= upTo && fitting.size() < ENTRIES_PER_APPEND_MAX; i++) {
      Entry entry = get(i);
      bytes += CommandCodec.entry(entry).done().length + ENTRY_OVERHEAD;
      if (bytes > maxBytes && !fitting.isEmpty()) {
        break;
      }
      fitting.add(entry);
    }
    return fitting;
  }

  // ---- writing ----

  void append(Entry entry) {
    Invariant.holds(
        entry.index() == lastIndex() + 1,
        () -> "entry " + entry.index() + " does not follow the last index " + lastIndex());
    Invariant.holds(
        entry.term() >= lastTerm(),
        () -> "term falls from " + lastTerm() + " to " + entry.term() + " at " + entry.index());
    entries.add(entry);
    writes.add(durable.write(key(entry.index()), CommandCodec.entry(entry).done()));
  }

  private static String key(long index) {
    return ENTRY_PREFIX + String.format("%019d", index);
  }

  /** Removes all entries from an index on. */
  void truncateFrom(long index) {
    for (long i = lastIndex(); i >= index; i--) {
      entries.remove(entries.size() - 1);
      writes.remove(writes.size() - 1);
      durable.write(key(i), null);
    }
    durableIndex = Math.min(durableIndex, index - 1);
  }

  /** Returns whether enough entries were applied since the last snapshot to take a new one. */
  boolean needsSnapshot(long applied) {
    return applied - snapshot.index() >= ENTRIES_PER_SNAPSHOT;
  }

  /**
   * Replaces the entries that a snapshot of the applied state covers by the snapshot, except for
   * the last {@value #ENTRIES_RETAINED}.
   */
  void compact(Snapshot next) {
    long from = Math.max(base, next.index() - ENTRIES_RETAINED);
    long fromTerm = termAt(from);
    long oldBase = base;
    replaceSnapshot(next.withBase(from, fromTerm));
    int dropped = (int) (from - oldBase);
    entries.subList(0, dropped).clear();
    writes.subList(0, dropped).clear();
    durableIndex = Math.max(durableIndex, from);
    deleteEntries(oldBase + 1, from);
  }

  /**
   * Installs a snapshot from the leader. The entries after the snapshot stay only if the log has
   * the snapshot's last entry with the same term; otherwise the whole log is discarded.
   */
  void install(Snapshot next) {
    if (termAt(next.index()) == next.term()) {
      compact(next);
      return;
    }
    long oldBase = base;
    long oldLast = lastIndex();
    replaceSnapshot(next.withBase(next.index(), next.term()));
    entries.clear();
    writes.clear();
    durableIndex = next.index();
    deleteEntries(oldBase + 1, oldLast);
  }

  private void deleteEntries(long first, long last) {
    for (long i = first; i <= last; i++) {
      durable.write(key(i), null);
    }
  }

  private void replaceSnapshot(Snapshot next) {
    snapshot = next;
    base = next.base();
    baseTerm = next.baseTerm();
    snapshotBytes = next.write();
    durable.write(SNAPSHOT_KEY, snapshotBytes);
  }

  /** Writes the whole log to durable state again, after the store had rejected a write. */
  void rewrite() {
    durable.write(SNAPSHOT_KEY, snapshotBytes);
    durableIndex = base;
    for (int i = 0; i < entries.size(); i++) {
      writes.set(i, durable.write(key(base + 1 + i), CommandCodec.entry(entries.get(i)).done()));
    }
  }
}
