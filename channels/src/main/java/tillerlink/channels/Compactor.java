package tillerlink.channels;

import java.util.List;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.quota.StorageQuota;
import tillerlink.channels.recovery.Store;
import tillerlink.messages.channels.Entry;

/**
 * The compactor of the oldest applied slots. It runs when there are more slots than allowed, or
 * when the events take too much of the storage quota.
 */
final class Compactor {
  /**
   * When there are too many slots, the allowed number divided by this is compacted in addition, as
   * headroom.
   */
  private static final int HEADROOM_DIVISOR = 8;

  /**
   * When the events take too many bytes, the number of applied slots divided by this is compacted.
   */
  private static final int OVER_QUOTA_DIVISOR = 4;

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

  /** Compacts the log and stores the compacted state if one of the limits is exceeded. */
  void compact() {
    long base = journal.base();
    long target = targetSlot(base, journal.applied() - base);
    if (target > base) {
      List<Entry> compacted = journal.compact(target);
      store.sum(journal.sum().bytes(), journal.base(), base, compacted, base + 1);
    }
  }

  /**
   * Returns the slot up to which to compact; {@code base} if no limit is exceeded.
   *
   * @param base the slot up to which the log is compacted already
   * @param slots the number of applied slots that are not compacted
   */
  private long targetSlot(long base, long slots) {
    if (slots > maxSlots) {
      return journal.applied() - maxSlots + maxSlots / HEADROOM_DIVISOR;
    } else if (journal.bytes() > quota.compactBeyond() && slots > 0) {
      return base + Math.max(1, slots / OVER_QUOTA_DIVISOR);
    }
    return base;
  }
}
