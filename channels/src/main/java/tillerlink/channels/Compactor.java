package tillerlink.channels;

import java.util.List;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.quota.StorageQuota;
import tillerlink.channels.recovery.Store;
import tillerlink.messages.channels.Entry;

/** Compacts the oldest applied slots when there are too many, or their events take too much. */
final class Compactor {
  /** Of the slots allowed, one part in so many is compacted ahead. */
  private static final int SLOTS_AHEAD = 8;

  /** Of the applied slots, one part in so many is compacted when events take too much. */
  private static final int SLOTS_AT_ONCE = 4;

  private final int maxSlots;
  private final StorageQuota quota;
  private final Journal journal;
  private final Store store;

  Compactor(int maxSlots, StorageQuota quota, Journal journal, Store store) {
    this.maxSlots = maxSlots;
    this.quota = quota;
    this.journal = journal;
    this.store = store;
  }

  /** Compacts if that is due. */
  void compact() {
    long base = journal.base();
    long target = target(base, journal.applied() - base);
    if (target > base) {
      List<Entry> covered = journal.compact(target);
      store.sum(journal.sum().bytes(), journal.base(), base, covered, base + 1);
    }
  }

  /** The slot up to which to compact; the base if nothing is due. */
  private long target(long base, long slots) {
    if (slots > maxSlots) {
      return journal.applied() - maxSlots + maxSlots / SLOTS_AHEAD;
    } else if (journal.bytes() > quota.compactBeyond() && slots > 0) {
      return base + Math.max(1, slots / SLOTS_AT_ONCE);
    }
    return base;
  }
}
