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
 * The events that are held in memory, and the sets of those that are held, stable and provisional.
 * The sets cover compacted events too.
 */
final class EventStore {
  private final TreeMap<Long, TreeMap<Long, Entry>> entries = new TreeMap<>();
  private final EventSet held = new EventSet();
  private final EventSet stable = new EventSet();
  private final EventSet provisional = new EventSet();
  private final TreeSet<Entry> tail = new TreeSet<>(Entry.ORDER);
  private long bytes;

  // ---- reading ----

  EventSet held() {
    return held;
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

  /** About what the events take in memory. */
  long bytes() {
    return bytes;
  }

  Entry entry(long incarnation, long sequence) {
    TreeMap<Long, Entry> own = entries.get(incarnation);
    return own == null ? null : own.get(sequence);
  }

  /** The events of a span that are held and not compacted. */
  Collection<Entry> entries(Span span) {
    TreeMap<Long, Entry> own = entries.get(span.incarnation());
    return own == null ? List.of() : own.subMap(span.from(), true, span.to(), true).values();
  }

  /** Whether no other event is held in memory under the name of this one. */
  boolean sameAsHeld(Entry entry) {
    Entry here = entry(entry.incarnation(), entry.sequence());
    return here == null || here.equals(entry);
  }

  // ---- changes ----

  /** Adds a provisional event; false if it is held already, or was and is compacted. */
  boolean put(Entry entry) {
    if (held.has(entry.incarnation(), entry.sequence())) {
      Invariant.holds(sameAsHeld(entry), () -> "two events are called " + entry.dot().text());
      return false;
    }
    entries
        .computeIfAbsent(entry.incarnation(), any -> new TreeMap<>())
        .put(entry.sequence(), entry);
    held.add(entry.incarnation(), entry.sequence());
    provisional.add(entry.incarnation(), entry.sequence());
    tail.add(entry);
    bytes += entry.weight();
    return true;
  }

  /** Makes the events of a span stable, and returns them. */
  Collection<Entry> makeStable(Span span) {
    stable.add(span);
    provisional.remove(span);
    return entries(span);
  }

  void removeFromTail(Entry entry) {
    tail.remove(entry);
  }

  /** Removes the events of a span from memory, and adds them to {@code removed}. */
  void compact(Span span, List<Entry> removed) {
    for (Entry entry : List.copyOf(entries(span))) {
      entries.get(span.incarnation()).remove(entry.sequence());
      bytes -= entry.weight();
      removed.add(entry);
    }
  }

  /** Forgets the incarnations that have no events in memory any more. */
  void trim() {
    entries.values().removeIf(TreeMap::isEmpty);
  }

  /** The events in memory that are not in a set, in their order. */
  List<Entry> without(EventSet covered) {
    List<Entry> rest = new ArrayList<>();
    for (TreeMap<Long, Entry> own : entries.values()) {
      for (Entry entry : own.values()) {
        if (!covered.has(entry.incarnation(), entry.sequence())) {
          rest.add(entry);
        }
      }
    }
    rest.sort(Entry.ORDER);
    return rest;
  }

  /** Removes all events, and starts from compacted ones, which are held and stable. */
  void restart(List<Span> compacted) {
    entries.clear();
    tail.clear();
    held.clear();
    stable.clear();
    provisional.clear();
    bytes = 0;
    for (Span span : compacted) {
      held.add(span);
      stable.add(span);
    }
  }

  void checkCovered() {
    Invariant.holds(
        held.size() == stable.size() + provisional.size(),
        () -> "the vectors do not cover what is held");
  }
}
