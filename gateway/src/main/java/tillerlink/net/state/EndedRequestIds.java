package tillerlink.net.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that were removed from the registry and may have been executed. A client
 * assigns a new id to each request, so an id that comes again later belongs to a request that must
 * not run a second time. Confined to the event-loop thread; all times are tenths of a millisecond.
 */
final class EndedRequestIds {
  /** The greatest number of ids; the oldest is forgotten beyond it. */
  private static final int MAX_IDS = 16_384;

  /** The memory that one id takes, in bytes. */
  private static final int ID_BYTES = 160;

  private final RetainedBytes retained;
  private final long period;

  /** The time at which each id is forgotten, in the order in which the ids were added. */
  private final Map<String, Long> forgottenAt = new LinkedHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param retained counts the memory of the ids
   * @param period how long an id is remembered
   */
  EndedRequestIds(RetainedBytes retained, long period) {
    this.retained = retained;
    this.period = period;
  }

  /** Adds the id of a request that was removed from the registry. */
  void add(String id, long now) {
    if (forgottenAt.put(id, now + period) == null) {
      retained.add(ID_BYTES);
    }
    if (forgottenAt.size() > MAX_IDS) {
      removeOldest(forgottenAt.entrySet().iterator());
    }
  }

  boolean contains(String id) {
    return forgottenAt.containsKey(id);
  }

  /** Forgets the ids whose period has elapsed. */
  void sweep(long now) {
    Iterator<Map.Entry<String, Long>> iterator = forgottenAt.entrySet().iterator();
    while (iterator.hasNext() && iterator.next().getValue() <= now) {
      iterator.remove();
      retained.add(-ID_BYTES);
    }
  }

  private void removeOldest(Iterator<Map.Entry<String, Long>> iterator) {
    iterator.next();
    iterator.remove();
    retained.add(-ID_BYTES);
  }
}
