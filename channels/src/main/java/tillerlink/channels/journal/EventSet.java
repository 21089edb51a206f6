package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tillerlink.messages.channels.Span;

/**
 * A set of events, as ranges of sequence numbers of each incarnation: a version vector that bears
 * gaps.
 */
public final class EventSet {
  private final TreeMap<Long, TreeMap<Long, Long>> ranges = new TreeMap<>();
  private long size;

  public boolean has(long incarnation, long sequence) {
    TreeMap<Long, Long> of = ranges.get(incarnation);
    Map.Entry<Long, Long> range = of == null ? null : of.floorEntry(sequence);
    return range != null && range.getValue() >= sequence;
  }

  public boolean hasAll(Span span) {
    TreeMap<Long, Long> of = ranges.get(span.incarnation());
    Map.Entry<Long, Long> range = of == null ? null : of.floorEntry(span.from());
    return range != null && range.getValue() >= span.to();
  }

  /** The last sequence number up to which all are there. */
  public long prefix(long incarnation) {
    TreeMap<Long, Long> of = ranges.get(incarnation);
    Long to = of == null ? null : of.get(1L);
    return to == null ? 0 : to;
  }

  public void add(Span span) {
    TreeMap<Long, Long> of = ranges.computeIfAbsent(span.incarnation(), any -> new TreeMap<>());
    long from = span.from();
    long to = span.to();
    Map.Entry<Long, Long> near = of.floorEntry(to + 1);
    while (near != null && near.getValue() >= from - 1) {
      from = Math.min(from, near.getKey());
      to = Math.max(to, near.getValue());
      size -= near.getValue() - near.getKey() + 1;
      of.remove(near.getKey());
      near = of.floorEntry(to + 1);
    }
    of.put(from, to);
    size += to - from + 1;
  }

  public void add(long incarnation, long sequence) {
    TreeMap<Long, Long> of = ranges.get(incarnation);
    Map.Entry<Long, Long> last = of == null ? null : of.lastEntry();
    if (last != null && last.getValue() == sequence - 1) {
      last = Map.entry(last.getKey(), sequence);
      of.put(last.getKey(), sequence);
      size++;
    } else {
      add(new Span(incarnation, sequence, sequence));
    }
  }

  public void remove(Span span) {
    TreeMap<Long, Long> of = ranges.get(span.incarnation());
    if (of == null) {
      return;
    }
    Map.Entry<Long, Long> near = of.floorEntry(span.to());
    while (near != null && near.getValue() >= span.from()) {
      of.remove(near.getKey());
      size -= near.getValue() - near.getKey() + 1;
      if (near.getKey() < span.from()) {
        of.put(near.getKey(), span.from() - 1);
        size += span.from() - near.getKey();
      }
      if (near.getValue() > span.to()) {
        of.put(span.to() + 1, near.getValue());
        size += near.getValue() - span.to();
      }
      near = of.floorEntry(span.from());
    }
    if (of.isEmpty()) {
      ranges.remove(span.incarnation());
    }
  }

  /** Adds to {@code to} what of a span is not in this set. */
  public void missing(Span span, List<Span> to) {
    long at = span.from();
    TreeMap<Long, Long> of = ranges.get(span.incarnation());
    if (of != null) {
      Map.Entry<Long, Long> near = of.floorEntry(at);
      if (near != null && near.getValue() >= at) {
        at = near.getValue() + 1;
      }
      for (near = of.ceilingEntry(at);
          near != null && near.getKey() <= span.to() && at <= span.to();
          near = of.higherEntry(near.getKey())) {
        if (near.getKey() > at) {
          to.add(new Span(span.incarnation(), at, near.getKey() - 1));
        }
        at = near.getValue() + 1;
      }
    }
    if (at <= span.to()) {
      to.add(new Span(span.incarnation(), at, span.to()));
    }
  }

  /** All, in the order of incarnations and sequence numbers. */
  public List<Span> spans() {
    List<Span> all = new ArrayList<>();
    ranges.forEach(
        (incarnation, of) -> of.forEach((from, to) -> all.add(new Span(incarnation, from, to))));
    return all;
  }

  public List<Span> spans(long incarnation) {
    List<Span> all = new ArrayList<>();
    ranges
        .getOrDefault(incarnation, new TreeMap<>())
        .forEach((from, to) -> all.add(new Span(incarnation, from, to)));
    return all;
  }

  public Iterable<Long> incarnations() {
    return ranges.keySet();
  }

  public int incarnationsSize() {
    return ranges.size();
  }

  /** How many events. */
  public long size() {
    return size;
  }
}
