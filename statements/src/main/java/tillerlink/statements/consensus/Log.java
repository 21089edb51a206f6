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
 * A voter's log: a snapshot, the entries behind it, and the last few entries that the snapshot
 * covers.
 */
final class Log {
  /** Keys of the stored values; part of the stored format. */
  private static final String ENTRY_PREFIX = "log/";

  private static final String SNAPSHOT_KEY = "snapshot";

  /** Entries applied since the snapshot before there is a new one. */
  private static final int ENTRIES_PER_SNAPSHOT = 256;

  /** Entries that a snapshot leaves in the log, for voters that are little behind. */
  private static final int ENTRIES_RETAINED = 64;

  private static final int ENTRIES_PER_APPEND_MAX = 128;

  /** Bytes around an entry in a message, at most. */
  private static final int ENTRY_OVERHEAD = 8;

  private static final long UNKNOWN_TERM = -1;

  private final DurableState durable;
  private final List<Entry> entries = new ArrayList<>();

  /** The numbers of the writes of the entries. */
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

  /** The index before the first entry that is in the log. */
  long base() {
    return base;
  }

  /** The term of the entry at that index; -1 if it is not in the log. */
  long term(long index) {
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

  /** The index up to which the log would survive a crash. */
  long durable() {
    while (durableIndex < lastIndex()
        && writes.get((int) (durableIndex - base)) <= durable.durableWrite()) {
      durableIndex++;
    }
    return durableIndex;
  }

  /** Whether a log position is at least as far as another, compared by term first. */
  static boolean isAtLeast(long term, long index, long otherTerm, long otherIndex) {
    return term > otherTerm || (term == otherTerm && index >= otherIndex);
  }

  /** Entries from one index to another, as many as fit into one message; at least one. */
  List<Entry> from(long index, long upTo, int maxBytes) {
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

  void truncateFrom(long index) {
    for (long i = lastIndex(); i >= index; i--) {
      entries.remove(entries.size() - 1);
      writes.remove(writes.size() - 1);
      durable.write(key(i), null);
    }
    durableIndex = Math.min(durableIndex, index - 1);
  }

  /** Whether the log is to be compacted. */
  boolean needsSnapshot(long applied) {
    return applied - snapshot.index() >= ENTRIES_PER_SNAPSHOT;
  }

  /** Replaces all entries that a snapshot of the applied state covers but the last few. */
  void compact(Snapshot next) {
    long from = Math.max(base, next.index() - ENTRIES_RETAINED);
    long fromTerm = term(from);
    long oldBase = base;
    replaceSnapshot(next.withBase(from, fromTerm));
    int dropped = (int) (from - oldBase);
    entries.subList(0, dropped).clear();
    writes.subList(0, dropped).clear();
    durableIndex = Math.max(durableIndex, from);
    deleteEntries(oldBase + 1, from);
  }

  /** Takes the leader's snapshot; entries behind it stay only if the log agrees with it. */
  void install(Snapshot next) {
    if (term(next.index()) == next.term()) {
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

  /** Writes the whole log to durable state once more. */
  void rewrite() {
    durable.write(SNAPSHOT_KEY, snapshotBytes);
    durableIndex = base;
    for (int i = 0; i < entries.size(); i++) {
      writes.set(i, durable.write(key(base + 1 + i), CommandCodec.entry(entries.get(i)).done()));
    }
  }
}
