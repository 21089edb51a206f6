package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.CommandCodec;
import tillerlink.messages.statements.Entry;

/** A voter's log: a snapshot, some entries that are in it still, and those behind it. */
final class Log {
  private static final String ENTRY = "log/";
  private static final String SNAPSHOT = "snapshot";

  /** Entries behind the snapshot before there is a new one. */
  private static final int ENTRIES_MOST = 256;

  /** Entries that a snapshot leaves, for those that are little behind. */
  private static final int TRAIL = 64;

  private final DurableState disk;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Long> writes = new ArrayList<>();
  private Snapshot snapshot;
  private byte[] snapshotBytes;
  private long base;
  private long baseTerm;
  private long durable;

  Log(DurableState disk, Snapshot empty) throws MalformedMessageException {
    this.disk = disk;
    byte[] kept = disk.found().get(SNAPSHOT);
    snapshot = kept == null ? empty : Snapshot.read(kept);
    snapshotBytes = snapshot.write();
    base = snapshot.base();
    baseTerm = snapshot.baseTerm();
    for (Map.Entry<String, byte[]> each : disk.found().tailMap(ENTRY, false).entrySet()) {
      if (!each.getKey().startsWith(ENTRY)) {
        break;
      }
      Entry entry = CommandCodec.entry(new FieldReader(each.getValue()));
      if (entry.index() == lastIndex() + 1 && entry.term() >= lastTerm()) {
        entries.add(entry);
        writes.add(0L);
      }
    }
    durable = lastIndex();
  }

  // ---- what is there ----

  long lastIndex() {
    return base + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  /** The index before the first entry that is there. */
  long base() {
    return base;
  }

  /** -1 if it is not there. */
  long term(long index) {
    if (index == base) {
      return baseTerm;
    }
    return index < base || index > lastIndex() ? -1 : get(index).term();
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

  /** How much of it outlives a crash. */
  long durable() {
    while (durable < lastIndex() && writes.get((int) (durable - base)) <= disk.done()) {
      durable++;
    }
    return durable;
  }

  /** Whether a position is at or beyond another, by the term of the last entry first. */
  static boolean reaches(long term, long index, long otherTerm, long otherIndex) {
    return term > otherTerm || term == otherTerm && index >= otherIndex;
  }

  /** From an index on, as many as fit. */
  List<Entry> from(long index, long upTo, int maxBytes) {
    List<Entry> some = new ArrayList<>();
    int bytes = 0;
    for (long i = index; i <= upTo && some.size() < 128; i++) {
      Entry entry = get(i);
      bytes += CommandCodec.entry(entry).done().length + 8;
      if (bytes > maxBytes && !some.isEmpty()) {
        break;
      }
      some.add(entry);
    }
    return some;
  }

  // ---- changes ----

  void append(Entry entry) {
    Invariant.holds(
        entry.index() == lastIndex() + 1, () -> "a gap in the log before " + entry.index());
    Invariant.holds(entry.term() >= lastTerm(), () -> "terms in the log fall at " + entry.index());
    entries.add(entry);
    writes.add(disk.write(key(entry.index()), CommandCodec.entry(entry).done()));
  }

  private static String key(long index) {
    return ENTRY + String.format("%019d", index);
  }

  void truncateFrom(long index) {
    for (long i = lastIndex(); i >= index; i--) {
      entries.remove(entries.size() - 1);
      writes.remove(writes.size() - 1);
      disk.write(key(i), null);
    }
    durable = Math.min(durable, index - 1);
  }

  /** Whether it is time for a new snapshot. */
  boolean isLong(long applied) {
    return applied - snapshot.index() >= ENTRIES_MOST;
  }

  /** A snapshot of what is applied takes the place of all entries but the last few. */
  void compact(Snapshot of) {
    long from = Math.max(base, of.index() - TRAIL);
    long fromTerm = term(from);
    long old = base;
    keep(of.on(from, fromTerm));
    int drop = (int) (from - old);
    entries.subList(0, drop).clear();
    writes.subList(0, drop).clear();
    durable = Math.max(durable, from);
    for (long i = old + 1; i <= from; i++) {
      disk.write(key(i), null);
    }
  }

  /** A snapshot of the leader: what is behind it stays only if it goes on from it. */
  void install(Snapshot of) {
    boolean goesOn = term(of.index()) == of.term();
    long first = base;
    long last = lastIndex();
    if (goesOn) {
      compact(of);
      return;
    }
    keep(of.on(of.index(), of.term()));
    entries.clear();
    writes.clear();
    durable = of.index();
    for (long i = first + 1; i <= last; i++) {
      disk.write(key(i), null);
    }
  }

  private void keep(Snapshot of) {
    snapshot = of;
    base = of.base();
    baseTerm = of.baseTerm();
    snapshotBytes = of.write();
    disk.write(SNAPSHOT, snapshotBytes);
  }

  /** Hands all of it to the disk once more. */
  void rewrite() {
    disk.write(SNAPSHOT, snapshotBytes);
    durable = base;
    for (int i = 0; i < entries.size(); i++) {
      writes.set(i, disk.write(key(base + 1 + i), CommandCodec.entry(entries.get(i)).done()));
    }
  }
}
