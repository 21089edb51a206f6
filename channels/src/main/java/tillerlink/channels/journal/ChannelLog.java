package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.cue.CueProjection;
import tillerlink.cluster.Invariant;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;

/**
 * The log of one channel: the projection of the compacted events, the stable events after them, and
 * the provisional tail.
 */
public final class ChannelLog {
  private final String name;
  private final ArrayList<OrderedEvent> stable = new ArrayList<>();
  private final TreeSet<Entry> tail = new TreeSet<>(Entry.ORDER);
  private final Map<String, TreeSet<Entry>> tailByCue = new HashMap<>();
  private final Map<String, Entry> tailByKey = new HashMap<>();
  private final CueProjection base;
  private final CueProjection projection;
  private long tailBytes;

  /**
   * Creates a log that has only compacted events.
   *
   * @param name the name of the channel
   * @param base the projection of the compacted events
   * @param projection a separate copy of {@code base}, to which all stable events are applied
   */
  ChannelLog(String name, CueProjection base, CueProjection projection) {
    this.name = name;
    this.base = base;
    this.projection = projection;
  }

  // ---- changes ----

  /** Adds an event to the provisional tail. */
  void put(Entry entry) {
    tail.add(entry);
    if (!entry.cue().isEmpty()) {
      tailByCue.computeIfAbsent(entry.cue(), cue -> new TreeSet<>(Entry.ORDER)).add(entry);
    }
    if (!entry.key().isEmpty()) {
      tailByKey.merge(
          entry.key(),
          entry,
          (first, second) -> Entry.ORDER.compare(first, second) <= 0 ? first : second);
    }
    tailBytes += entry.weight();
  }

  private void removeFromTail(Entry entry) {
    tail.remove(entry);
    tailBytes -= entry.weight();
    TreeSet<Entry> cueEvents = tailByCue.get(entry.cue());
    if (cueEvents != null && cueEvents.remove(entry) && cueEvents.isEmpty()) {
      tailByCue.remove(entry.cue());
    }
    // From now on the projection maps the key to this event, so that any other provisional event
    // with this key is recognized as its repeat.
    tailByKey.remove(entry.key(), entry);
  }

  /**
   * Makes a provisional event stable and appends it to the stable events.
   *
   * @param entry the event
   * @param slot the slot whose cut contains the event
   * @param previousUpTo the upper bound of the previous cut, a stamp of the hybrid logical clock
   */
  void makeStable(Entry entry, long slot, long previousUpTo) {
    removeFromTail(entry);
    boolean late = entry.stamp() <= previousUpTo;
    long at = late ? previousUpTo >> Entry.COUNTER : entry.millis();
    OrderedEvent last = stable.isEmpty() ? null : stable.get(stable.size() - 1);
    Invariant.holds(
        last == null || last.slot() < slot || Entry.ORDER.compare(last.entry(), entry) < 0,
        () ->
            "stable prefix of channel " + name + " is not in order at event " + entry.dot().text());
    boolean repeat = projection.apply(entry, at);
    stable.add(new OrderedEvent(entry, slot, at, late, repeat));
    Invariant.holds(
        projection.count() == base.count() + stable.size(),
        () -> "event count in the projection of " + name + " differs from its log");
  }

  /**
   * Compacts the first stable events: applies them to the base projection and removes them.
   *
   * @param count the number of events
   */
  void compact(int count) {
    for (OrderedEvent event : stable.subList(0, count)) {
      base.apply(event.entry(), event.at());
    }
    stable.subList(0, count).clear();
  }

  /**
   * Counts the stable events, not compacted, that belong to cuts up to a slot.
   *
   * @param slot the last slot that counts
   * @return the number of events
   */
  int upTo(long slot) {
    int count = 0;
    while (count < stable.size() && stable.get(count).slot() <= slot) {
      count++;
    }
    return count;
  }

  // ---- reading ----

  /** Returns the name of the channel. */
  public String name() {
    return name;
  }

  /** Returns the index of the first event that is not compacted; the log's first event has 0. */
  public long first() {
    return base.count();
  }

  /** Returns the number of stable events, including compacted ones. */
  public long stableCount() {
    return projection.count();
  }

  /**
   * Returns a stable event that is not compacted.
   *
   * @param index the index of the event in the log, from {@link #first} to below {@link
   *     #stableCount}
   */
  public OrderedEvent stable(long index) {
    return stable.get((int) (index - base.count()));
  }

  /** Returns a live view of the provisional events, in the order of their stamps. */
  public SortedSet<Entry> tail() {
    return Collections.unmodifiableSortedSet(tail);
  }

  /** Returns the approximate size of the provisional events in memory, in bytes. */
  public long tailBytes() {
    return tailBytes;
  }

  CueProjection base() {
    return base;
  }

  /**
   * Looks up the first event, stable or provisional, with an idempotency key.
   *
   * @return the identifier of the event; null if the key is unknown or was evicted
   */
  public Dot key(String key) {
    Dot dot = projection.key(key);
    Entry entry = dot == null ? tailByKey.get(key) : null;
    return entry == null ? dot : entry.dot();
  }

  /**
   * Returns true if a provisional event repeats another event, that is, if in the present order an
   * earlier event has the same idempotency key.
   */
  public boolean isRepeat(Entry entry) {
    Dot first = entry.key().isEmpty() ? null : key(entry.key());
    return first != null && !first.same(entry.dot());
  }

  /**
   * Returns a copy of a cue with the provisional events applied.
   *
   * @param cue the name of the cue
   * @param upTo the upper bound of the last applied cut, a stamp of the hybrid logical clock
   */
  public Cue cue(String cue, long upTo) {
    Cue copy = projection.copyOf(cue);
    for (Entry entry : tailByCue.getOrDefault(cue, new TreeSet<>(Entry.ORDER))) {
      if (!isRepeat(entry)) {
        long effectiveStamp = Math.max(entry.stamp(), entry.stamp() <= upTo ? upTo : 0);
        CueProjection.apply(copy, entry, effectiveStamp >> Entry.COUNTER);
      }
    }
    return copy;
  }

  /**
   * Returns all cues with the provisional events applied.
   *
   * @param upTo the upper bound of the last applied cut, a stamp of the hybrid logical clock
   */
  public List<Cue> cues(long upTo) {
    Set<String> names = new HashSet<>();
    List<Cue> all = new ArrayList<>();
    for (Cue cue : projection.cues()) {
      names.add(cue.name());
      all.add(tailByCue.containsKey(cue.name()) ? cue(cue.name(), upTo) : cue);
    }
    for (Entry entry : tail) {
      if (!entry.cue().isEmpty() && names.add(entry.cue())) {
        all.add(cue(entry.cue(), upTo));
      }
    }
    return all;
  }
}
