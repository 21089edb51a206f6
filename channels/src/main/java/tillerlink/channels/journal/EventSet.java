package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tillerlink.messages.channels.Span;

/**
 * A set of events by their names: of each incarnation the ranges of sequence numbers, as in a
 * version vector with gaps.
 */
public final class EventSet {
  /** By incarnation: the last number of each range, by its first. */
  private final TreeMap<Long, TreeMap<Long, Long>> ranges = new TreeMap<>();

  private long size;

  // ---- reading ----

  /** Whether an event is in the set. */
  public boolean has(long incarnation, long sequence) {
    TreeMap<Long, Long> own = ranges.get(incarnation);
    Map.Entry<Long, Long> range = own == null ? null : own.floorEntry(sequence);
    return range != null && range.getValue() >= sequence;
  }

  /** Whether all events of a span are in the set. */
  public boolean hasAll(Span span) {
    TreeMap<Long, Long> own = ranges.get(span.incarnation());
    Map.Entry<Long, Long> range = own == null ? null : own.floorEntry(span.from());
    return range != null && range.getValue() >= span.to();
  }

  /** Returns the last sequence number up to which all are in the set; 0 if the first is not. */
  public long prefix(long incarnation) {
    TreeMap<Long, Long> own = ranges.get(incarnation);
    Long to = own == null ? null : own.get(1L);
    return to == null ? 0 : to;
  }

  /** Adds to {@code missing} the parts of a span that are not in this set. */
  public void missing(Span span, List<Span> missing) {
    long at = span.from();
    TreeMap<Long, Long> own = ranges.get(span.incarnation());
    if (own != null) {
      Map.Entry<Long, Long> near = own.floorEntry(at);
      if (near != null && near.getValue() >= at) {
        at = near.getValue() + 1;
      }
      for (near = own.ceilingEntry(at);
          near != null && near.getKey() <= span.to() && at <= span.to();
          near = own.higherEntry(near.getKey())) {
        if (near.getKey() > at) {
          missing.add(new Span(span.incarnation(), at, near.getKey() - 1));
        }
        at = near.getValue() + 1;
      }
    }
    if (at <= span.to()) {
      missing.add(new Span(span.incarnation(), at, span.to()));
    }
  }

  /** Returns all, in the order of incarnations and sequence numbers. */
  public List<Span> spans() {
    List<Span> all = new ArrayList<>();
    ranges.forEach((incarnation, own) -> addSpans(incarnation, own, all));
    return all;
  }

  /** Returns the spans of one incarnation, in the order of sequence numbers. */
  public List<Span> spans(long incarnation) {
    List<Span> all = new ArrayList<>();
    addSpans(incarnation, ranges.getOrDefault(incarnation, new TreeMap<>()), all);
    return all;
  }

  private static void addSpans(long incarnation, Map<Long, Long> own, List<Span> spans) {
    own.forEach((from, to) -> spans.add(new Span(incarnation, from, to)));
  }

  /** Returns the incarnations that have events, in their order. */
  public Set<Long> incarnations() {
    return Collections.unmodifiableSet(ranges.keySet());
  }

  /** Returns the number of events. */
  public long size() {
    return size;
  }

  // ---- changes ----

  /** Adds the events of a span; some of them may be in the set. */
  public void add(Span span) {
    TreeMap<Long, Long> own = ranges.computeIfAbsent(span.incarnation(), any -> new TreeMap<>());
    long from = span.from();
    long to = span.to();
    Map.Entry<Long, Long> near = own.floorEntry(to + 1);
    while (near != null && near.getValue() >= from - 1) {
      from = Math.min(from, near.getKey());
      to = Math.max(to, near.getValue());
      size -= near.getValue() - near.getKey() + 1;
      own.remove(near.getKey());
      near = own.floorEntry(to + 1);
    }
    own.put(from, to);
    size += to - from + 1;
  }

  /** Adds an event. */
  public void add(long incarnation, long sequence) {
    TreeMap<Long, Long> own = ranges.get(incarnation);
    Map.Entry<Long, Long> last = own == null ? null : own.lastEntry();
    if (last != null && last.getValue() == sequence - 1) {
      own.put(last.getKey(), sequence);
      size++;
    } else {
      add(new Span(incarnation, sequence, sequence));
    }
  }

  /** Removes the events of a span; some of them may not be in the set. */
  public void remove(Span span) {
    TreeMap<Long, Long> own = ranges.get(span.incarnation());
    if (own == null) {
      return;
    }
    Map.Entry<Long, Long> near = own.floorEntry(span.to());
    while (near != null && near.getValue() >= span.from()) {
      own.remove(near.getKey());
      size -= near.getValue() - near.getKey() + 1;
      if (near.getKey() < span.from()) {
        own.put(near.getKey(), span.from() - 1);
        size += span.from() - near.getKey();
      }
      if (near.getValue() > span.to()) {
        own.put(span.to() + 1, near.getValue());
        size += near.getValue() - span.to();
      }
      near = own.floorEntry(span.from());
    }
    if (own.isEmpty()) {
      ranges.remove(span.incarnation());
    }
  }

  /** Removes all events. */
  void clear() {
    ranges.clear();
    size = 0;
  }
}
