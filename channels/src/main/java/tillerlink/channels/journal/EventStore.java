package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.cluster.Invariant;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Span;

/**
 * The events in memory, and the sets of known, stable and provisional events. An event is known if
 * this gateway has it or has compacted it; the known and stable sets include compacted events.
 */
final class EventStore {
  private final TreeMap<Long, TreeMap<Long, Entry>> entries = new TreeMap<>();
  private final EventSet known = new EventSet();
  private final EventSet stable = new EventSet();
  private final EventSet provisional = new EventSet();
  private final TreeSet<Entry> tail = new TreeSet<>(Entry.ORDER);
  private long bytes;

  // ---- reading ----

  EventSet known() {
    return known;
  }

  EventSet stable() {
    return stable;
  }

  EventSet provisional() {
    return provisional;
  }

  SortedSet<Entry> tail() {
    return tail;
  }

  /** Returns the approximate size of the events in memory, in bytes. */
  long bytes() {
    return bytes;
  }

  Entry entry(long incarnation, long sequence) {
    TreeMap<Long, Entry> bySequence = entries.get(incarnation);
    return bySequence == null ? null : bySequence.get(sequence);
  }

  /** Returns a live view of the events of a span that are in memory, that is, not compacted. */
  Collection<Entry> entries(Span span) {
    TreeMap<Long, Entry> bySequence = entries.get(span.incarnation());
    return bySequence == null
        ? List.of()
        : bySequence.subMap(span.from(), true, span.to(), true).values();
  }

  /** Returns true unless a different event is in memory under the identifier of this one. */
  boolean hasNoConflict(Entry entry) {
    Entry existing = entry(entry.incarnation(), entry.sequence());
    return existing == null || existing.equals(entry);
  }

  // ---- changes ----

  /**
   * Adds a provisional event.
   *
   * @return false if the event is known already, compacted ones included
   */
  boolean put(Entry entry) {
    if (known.has(entry.incarnation(), entry.sequence())) {
      Invariant.holds(
          hasNoConflict(entry), () -> "two different events have identifier " + entry.dot().text());
      return false;
    }
    entries
        .computeIfAbsent(entry.incarnation(), incarnation -> new TreeMap<>())
        .put(entry.sequence(), entry);
    known.add(entry.incarnation(), entry.sequence());
    provisional.add(entry.incarnation(), entry.sequence());
    tail.add(entry);
    bytes += entry.weight();
    return true;
  }

  /** Marks the events of a span as stable and returns those that are in memory. */
  Collection<Entry> makeStable(Span span) {
    stable.add(span);
    provisional.remove(span);
    return entries(span);
  }

  /** Removes an event from the provisional tail. */
  void removeFromTail(Entry entry) {
    tail.remove(entry);
  }

  /** Removes the events of a span from memory and appends them to {@code removed}. */
  void compact(Span span, List<Entry> removed) {
    for (Entry entry : List.copyOf(entries(span))) {
      entries.get(span.incarnation()).remove(entry.sequence());
      bytes -= entry.weight();
      removed.add(entry);
    }
  }

  /** Removes the index of each incarnation that has no events in memory any more. */
  void removeEmptyIncarnations() {
    entries.values().removeIf(TreeMap::isEmpty);
  }

  /** Returns the events in memory that are not in a set, in the order of their stamps. */
  List<Entry> without(EventSet covered) {
    List<Entry> remaining = new ArrayList<>();
    for (TreeMap<Long, Entry> bySequence : entries.values()) {
      for (Entry entry : bySequence.values()) {
        if (!covered.has(entry.incarnation(), entry.sequence())) {
          remaining.add(entry);
        }
      }
    }
    remaining.sort(Entry.ORDER);
    return remaining;
  }

  /** Replaces all events by compacted ones, which become known and stable. */
  void restart(List<Span> compacted) {
    entries.clear();
    tail.clear();
    known.clear();
    stable.clear();
    provisional.clear();
    bytes = 0;
    for (Span span : compacted) {
      known.add(span);
      stable.add(span);
    }
  }

  /** Checks that each known event is either stable or provisional, by the sizes of the sets. */
  void checkSizes() {
    Invariant.holds(
        known.size() == stable.size() + provisional.size(),
        () -> "stable and provisional events do not add up to the known events");
  }
}
