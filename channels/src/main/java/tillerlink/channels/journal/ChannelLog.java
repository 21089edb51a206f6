package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.cue.CueProjection;
import tillerlink.cluster.Invariant;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;

/**
 * One channel: what was compacted as a sum, the stable events after it, and the provisional tail.
 */
public final class ChannelLog {
  private final String name;
  private final ArrayList<OrderedEvent> stable = new ArrayList<>();
  private final TreeSet<Entry> tail = new TreeSet<>(Entry.ORDER);
  private final Map<String, TreeSet<Entry>> tailOf = new HashMap<>();
  private final Map<String, Entry> tailKeys = new HashMap<>();
  private final CueProjection base;
  private final CueProjection book;
  private long bytes;
  private long tailBytes;

  ChannelLog(String name, CueProjection base, CueProjection book) {
    this.name = name;
    this.base = base;
    this.book = book;
  }

  void put(Entry entry) {
    tail.add(entry);
    if (!entry.cue().isEmpty()) {
      tailOf.computeIfAbsent(entry.cue(), any -> new TreeSet<>(Entry.ORDER)).add(entry);
    }
    if (!entry.key().isEmpty()) {
      tailKeys.merge(
          entry.key(), entry, (one, other) -> Entry.ORDER.compare(one, other) <= 0 ? one : other);
    }
    bytes += entry.weight();
    tailBytes += entry.weight();
  }

  private void takeFromTail(Entry entry) {
    tail.remove(entry);
    tailBytes -= entry.weight();
    TreeSet<Entry> of = tailOf.get(entry.cue());
    if (of != null && of.remove(entry) && of.isEmpty()) {
      tailOf.remove(entry.cue());
    }
    // Another one in the tail with this key is a repeat of this one from now on, which the book
    // knows.
    tailKeys.remove(entry.key(), entry);
  }

  /** Puts an event in its final place, behind all that are there. */
  void place(Entry entry, long slot, long upToBefore) {
    takeFromTail(entry);
    boolean late = entry.stamp() <= upToBefore;
    long at = late ? upToBefore >> Entry.COUNTER : entry.millis();
    OrderedEvent last = stable.isEmpty() ? null : stable.get(stable.size() - 1);
    Invariant.holds(
        last == null || last.slot() < slot || Entry.ORDER.compare(last.entry(), entry) < 0,
        () -> "the stable prefix of " + name + " is not in order at " + entry.dot().text());
    boolean repeat = book.take(entry, at);
    stable.add(new OrderedEvent(entry, slot, at, late, repeat));
    Invariant.holds(
        book.count() == base.count() + stable.size(),
        () -> "the sum of " + name + " counts otherwise");
  }

  /** Puts the first stable events into the sum. */
  void compact(int count) {
    for (OrderedEvent placed : stable.subList(0, count)) {
      base.take(placed.entry(), placed.at());
      bytes -= placed.entry().weight();
    }
    stable.subList(0, count).clear();
  }

  /** How many of the stable events belong to steps up to that one. */
  int upTo(long slot) {
    int count = 0;
    while (count < stable.size() && stable.get(count).slot() <= slot) {
      count++;
    }
    return count;
  }

  public String name() {
    return name;
  }

  /** The number of the first event that can still be read, from 0. */
  public long first() {
    return base.count();
  }

  /** How many events are stable, the compacted ones too. */
  public long stableCount() {
    return book.count();
  }

  public OrderedEvent stable(long index) {
    return stable.get((int) (index - base.count()));
  }

  public TreeSet<Entry> tail() {
    return tail;
  }

  public long bytes() {
    return bytes;
  }

  public long tailBytes() {
    return tailBytes;
  }

  CueProjection base() {
    return base;
  }

  /** The event that stands for a key, the provisional ones counted; null if none. */
  public Dot key(String key) {
    Dot dot = book.key(key);
    Entry entry = dot == null ? tailKeys.get(key) : null;
    return entry == null ? dot : entry.dot();
  }

  /** Whether a provisional event is the repeat of another, as things stand. */
  public boolean isRepeat(Entry entry) {
    Dot first = entry.key().isEmpty() ? null : key(entry.key());
    return first != null && !first.same(entry.dot());
  }

  /** A cue as it stands, the provisional events counted. */
  public Cue cue(String cue, long upTo) {
    Cue copy = book.copyOf(cue);
    for (Entry entry : tailOf.getOrDefault(cue, new TreeSet<>(Entry.ORDER))) {
      if (!isRepeat(entry)) {
        CueProjection.take(
            copy,
            entry,
            Math.max(entry.stamp(), entry.stamp() <= upTo ? upTo : 0) >> Entry.COUNTER);
      }
    }
    return copy;
  }

  /** All cues as they stand, the provisional events counted. */
  public List<Cue> cues(long upTo) {
    Set<String> done = new HashSet<>();
    List<Cue> all = new ArrayList<>();
    for (Cue cue : book.cues()) {
      done.add(cue.name());
      all.add(tailOf.containsKey(cue.name()) ? cue(cue.name(), upTo) : cue);
    }
    for (Entry entry : tail) {
      if (!entry.cue().isEmpty() && done.add(entry.cue())) {
        all.add(cue(entry.cue(), upTo));
      }
    }
    return all;
  }
}
