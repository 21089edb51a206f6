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
 * The log of one channel: the projection of what is compacted, the stable events after it, and the
 * provisional tail.
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
   * Makes a log without events beyond the compacted ones.
   *
   * @param base the projection of the compacted events
   * @param projection another copy of it, to which all stable events are applied
   */
  ChannelLog(String name, CueProjection base, CueProjection projection) {
    this.name = name;
    this.base = base;
    this.projection = projection;
  }

  // ---- changes ----

  /** Adds a provisional event. */
  void put(Entry entry) {
    tail.add(entry);
    if (!entry.cue().isEmpty()) {
      tailByCue.computeIfAbsent(entry.cue(), any -> new TreeSet<>(Entry.ORDER)).add(entry);
    }
    if (!entry.key().isEmpty()) {
      tailByKey.merge(
          entry.key(), entry, (one, other) -> Entry.ORDER.compare(one, other) <= 0 ? one : other);
    }
    tailBytes += entry.weight();
  }

  private void removeFromTail(Entry entry) {
    tail.remove(entry);
    tailBytes -= entry.weight();
    TreeSet<Entry> ofCue = tailByCue.get(entry.cue());
    if (ofCue != null && ofCue.remove(entry) && ofCue.isEmpty()) {
      tailByCue.remove(entry.cue());
    }
    // Another provisional event with this key is a repeat of this one from now on; the projection
    // knows that.
    tailByKey.remove(entry.key(), entry);
  }

  /**
   * Makes a provisional event stable, after all that are.
   *
   * @param slot the slot whose cut it is in
   * @param upToBefore the upper bound of the cut before
   */
  void makeStable(Entry entry, long slot, long upToBefore) {
    removeFromTail(entry);
    boolean late = entry.stamp() <= upToBefore;
    long at = late ? upToBefore >> Entry.COUNTER : entry.millis();
    OrderedEvent last = stable.isEmpty() ? null : stable.get(stable.size() - 1);
    Invariant.holds(
        last == null || last.slot() < slot || Entry.ORDER.compare(last.entry(), entry) < 0,
        () -> "the stable prefix of " + name + " is not in order at " + entry.dot().text());
    boolean repeat = projection.apply(entry, at);
    stable.add(new OrderedEvent(entry, slot, at, late, repeat));
    Invariant.holds(
        projection.count() == base.count() + stable.size(),
        () -> "the sum of " + name + " counts otherwise");
  }

  /** Compacts the first stable events. */
  void compact(int count) {
    for (OrderedEvent event : stable.subList(0, count)) {
      base.apply(event.entry(), event.at());
    }
    stable.subList(0, count).clear();
  }

  /** Returns how many of the stable events are in cuts up to a slot. */
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

  /** Returns the number of the first event that is not compacted, from 0. */
  public long first() {
    return base.count();
  }

  /** Returns the number of stable events, compacted ones included. */
  public long stableCount() {
    return projection.count();
  }

  /** Returns a stable event that is not compacted, by its number. */
  public OrderedEvent stable(long index) {
    return stable.get((int) (index - base.count()));
  }

  /** Returns the provisional events, in the order of their stamps; a live view. */
  public SortedSet<Entry> tail() {
    return Collections.unmodifiableSortedSet(tail);
  }

  /** Returns about the bytes that the provisional events take in memory. */
  public long tailBytes() {
    return tailBytes;
  }

  CueProjection base() {
    return base;
  }

  /** Returns the event that a key stands for, a provisional one too; null if none. */
  public Dot key(String key) {
    Dot dot = projection.key(key);
    Entry entry = dot == null ? tailByKey.get(key) : null;
    return entry == null ? dot : entry.dot();
  }

  /** Whether a provisional event repeats another, in the order of now. */
  public boolean isRepeat(Entry entry) {
    Dot first = entry.key().isEmpty() ? null : key(entry.key());
    return first != null && !first.same(entry.dot());
  }

  /**
   * Returns a cue with the provisional events applied.
   *
   * @param upTo the upper bound of the last applied cut
   */
  public Cue cue(String cue, long upTo) {
    Cue copy = projection.copyOf(cue);
    for (Entry entry : tailByCue.getOrDefault(cue, new TreeSet<>(Entry.ORDER))) {
      if (!isRepeat(entry)) {
        long counted = Math.max(entry.stamp(), entry.stamp() <= upTo ? upTo : 0);
        CueProjection.apply(copy, entry, counted >> Entry.COUNTER);
      }
    }
    return copy;
  }

  /**
   * Returns all cues with the provisional events applied.
   *
   * @param upTo the upper bound of the last applied cut
   */
  public List<Cue> cues(long upTo) {
    Set<String> done = new HashSet<>();
    List<Cue> all = new ArrayList<>();
    for (Cue cue : projection.cues()) {
      done.add(cue.name());
      all.add(tailByCue.containsKey(cue.name()) ? cue(cue.name(), upTo) : cue);
    }
    for (Entry entry : tail) {
      if (!entry.cue().isEmpty() && done.add(entry.cue())) {
        all.add(cue(entry.cue(), upTo));
      }
    }
    return all;
  }
}
