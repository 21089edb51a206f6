package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tillerlink.messages.channels.Span;

/**
 * A set of event identifiers. For each incarnation it has the ranges of sequence numbers, like a
 * version vector with gaps.
 */
public final class EventSet {
  /** By incarnation, the last sequence number of each range, by the range's first number. */
  private final TreeMap<Long, TreeMap<Long, Long>> ranges = new TreeMap<>();

  private long size;

  // ---- reading ----

  /** Returns true if an event is in the set. */
  public boolean has(long incarnation, long sequence) {
    TreeMap<Long, Long> incarnationRanges = ranges.get(incarnation);
    Map.Entry<Long, Long> range =
        incarnationRanges == null ? null : incarnationRanges.floorEntry(sequence);
    return range != null && range.getValue() >= sequence;
  }

  /** Returns true if all events of a span are in the set. */
  public boolean hasAll(Span span) {
    TreeMap<Long, Long> incarnationRanges = ranges.get(span.incarnation());
    Map.Entry<Long, Long> range =
        incarnationRanges == null ? null : incarnationRanges.floorEntry(span.from());
    return range != null && range.getValue() >= span.to();
  }

  /**
   * Returns the length of an incarnation's gapless prefix.
   *
   * @return the sequence number up to which, from 1, all events are in the set; 0 if the event with
   *     number 1 is not
   */
  public long prefix(long incarnation) {
    TreeMap<Long, Long> incarnationRanges = ranges.get(incarnation);
    Long to = incarnationRanges == null ? null : incarnationRanges.get(1L);
    return to == null ? 0 : to;
  }

  /** Appends to {@code missing} the parts of a span that are not in this set. */
  public void missing(Span span, List<Span> missing) {
    long next = span.from();
    TreeMap<Long, Long> incarnationRanges = ranges.get(span.incarnation());
    if (incarnationRanges != null) {
      Map.Entry<Long, Long> range = incarnationRanges.floorEntry(next);
      if (range != null && range.getValue() >= next) {
        next = range.getValue() + 1;
      }
      for (range = incarnationRanges.ceilingEntry(next);
          range != null && range.getKey() <= span.to() && next <= span.to();
          range = incarnationRanges.higherEntry(range.getKey())) {
        if (range.getKey() > next) {
          missing.add(new Span(span.incarnation(), next, range.getKey() - 1));
        }
        next = range.getValue() + 1;
      }
    }
    if (next <= span.to()) {
      missing.add(new Span(span.incarnation(), next, span.to()));
    }
  }

  /** Returns all events as spans, in the order of incarnations and sequence numbers. */
  public List<Span> spans() {
    List<Span> all = new ArrayList<>();
    ranges.forEach(
        (incarnation, incarnationRanges) -> addSpans(incarnation, incarnationRanges, all));
    return all;
  }

  /** Returns the spans of one incarnation, in the order of sequence numbers. */
  public List<Span> spans(long incarnation) {
    List<Span> all = new ArrayList<>();
    addSpans(incarnation, ranges.getOrDefault(incarnation, new TreeMap<>()), all);
    return all;
  }

  private static void addSpans(
      long incarnation, Map<Long, Long> incarnationRanges, List<Span> spans) {
    incarnationRanges.forEach((from, to) -> spans.add(new Span(incarnation, from, to)));
  }

  /** Returns a live view of the incarnations that have events in the set, in ascending order. */
  public Set<Long> incarnations() {
    return Collections.unmodifiableSet(ranges.keySet());
  }

  /** Returns the number of events in the set. */
  public long size() {
    return size;
  }

  // ---- changes ----

  /** Adds the events of a span, of which some may be in the set already. */
  public void add(Span span) {
    TreeMap<Long, Long> incarnationRanges =
        ranges.computeIfAbsent(span.incarnation(), incarnation -> new TreeMap<>());
    long from = span.from();
    long to = span.to();
    Map.Entry<Long, Long> range = incarnationRanges.floorEntry(to + 1);
    while (range != null && range.getValue() >= from - 1) {
      from = Math.min(from, range.getKey());
      to = Math.max(to, range.getValue());
      size -= range.getValue() - range.getKey() + 1;
      incarnationRanges.remove(range.getKey());
      range = incarnationRanges.floorEntry(to + 1);
    }
    incarnationRanges.put(from, to);
    size += to - from + 1;
  }

  /** Adds one event; has no effect if it is in the set already. */
  public void add(long incarnation, long sequence) {
    TreeMap<Long, Long> incarnationRanges = ranges.get(incarnation);
    Map.Entry<Long, Long> last = incarnationRanges == null ? null : incarnationRanges.lastEntry();
    if (last != null && last.getValue() == sequence - 1) {
      incarnationRanges.put(last.getKey(), sequence);
      size++;
    } else {
      add(new Span(incarnation, sequence, sequence));
    }
  }

  /** Removes the events of a span, of which some may be absent. */
  public void remove(Span span) {
    TreeMap<Long, Long> incarnationRanges = ranges.get(span.incarnation());
    if (incarnationRanges == null) {
      return;
    }
    Map.Entry<Long, Long> range = incarnationRanges.floorEntry(span.to());
    while (range != null && range.getValue() >= span.from()) {
      incarnationRanges.remove(range.getKey());
      size -= range.getValue() - range.getKey() + 1;
      if (range.getKey() < span.from()) {
        incarnationRanges.put(range.getKey(), span.from() - 1);
        size += span.from() - range.getKey();
      }
      if (range.getValue() > span.to()) {
        incarnationRanges.put(span.to() + 1, range.getValue());
        size += range.getValue() - span.to();
      }
      range = incarnationRanges.floorEntry(span.from());
    }
    if (incarnationRanges.isEmpty()) {
      ranges.remove(span.incarnation());
    }
  }

  /** Removes all events from the set. */
  void clear() {
    ranges.clear();
    size = 0;
  }
}
