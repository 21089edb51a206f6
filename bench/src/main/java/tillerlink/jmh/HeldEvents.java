package tillerlink.jmh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import tillerlink.channels.journal.EventSet;
import tillerlink.channels.journal.Journal;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Kind;
import tillerlink.messages.channels.Span;

/**
 * Compares ways to record which of 100,000 events of eight gateways were received, and to find
 * which events of a peer are missing: ranges with gaps, a set of names, and a sorted set of numbers
 * for each writer. It also compares the cost of an event in a journal with that of a plain map by
 * name and a sorted set.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 4, time = 1)
public class HeldEvents {
  private static final int EVENTS = 100_000;
  private static final int WRITERS = 8;

  private record Name(long incarnation, long sequence) {}

  /** The distance by which events arrive out of the order of their numbers, in events. */
  @Param({"1", "1000"})
  private int mixed;

  private Entry[] events;
  private EventSet ranges;
  private Set<Name> names;
  private Map<Long, NavigableSet<Long>> numbers;

  /** Shuffles the events, leaves gaps, and fills each of the three sets. */
  @Setup
  public void setUp() {
    Random random = new Random(1);
    TreeMap<Double, Entry> shuffled = new TreeMap<>();
    for (int i = 0; i < EVENTS; i++) {
      long sequence = 1 + (long) i / WRITERS;
      // One in a hundred events is left out, which makes gaps.
      if (random.nextInt(100) > 0) {
        shuffled.put(i + random.nextDouble() * mixed, event(1 + i % WRITERS, sequence, i));
      }
    }
    events = new Entry[EVENTS];
    int index = 0;
    for (Entry event : shuffled.values()) {
      events[index++] = event;
    }
    for (long extraSequence = 1L << 20; index < EVENTS; extraSequence++) {
      events[index++] = event(1, extraSequence, (int) extraSequence);
    }
    ranges = ranges();
    names = names();
    numbers = numbers();
  }

  private static Entry event(long writer, long sequence, int index) {
    return new Entry(
        "gateway-" + writer,
        "site-" + writer % 3,
        writer,
        sequence,
        ((long) index + 1) << Entry.COUNTER,
        "news",
        Kind.CUE,
        "cue-" + index % 1000,
        "A line of subtitles, as long as they are",
        0,
        "",
        List.of(),
        List.of());
  }

  // ---- adding all events ----

  /** Adds all events to ranges with gaps. */
  @Benchmark
  @OperationsPerInvocation(EVENTS)
  public EventSet ranges() {
    EventSet received = new EventSet();
    for (Entry event : events) {
      if (!received.has(event.incarnation(), event.sequence())) {
        received.add(event.incarnation(), event.sequence());
      }
    }
    return received;
  }

  /** Adds all events to a set of names. */
  @Benchmark
  @OperationsPerInvocation(EVENTS)
  public Set<Name> names() {
    Set<Name> received = new HashSet<>();
    for (Entry event : events) {
      received.add(new Name(event.incarnation(), event.sequence()));
    }
    return received;
  }

  /** Adds all events to a sorted set of numbers for each writer. */
  @Benchmark
  @OperationsPerInvocation(EVENTS)
  public Map<Long, NavigableSet<Long>> numbers() {
    Map<Long, NavigableSet<Long>> received = new TreeMap<>();
    for (Entry event : events) {
      received
          .computeIfAbsent(event.incarnation(), writer -> new TreeSet<>())
          .add(event.sequence());
    }
    return received;
  }

  // ---- finding the missing events of a peer: one operation covers all events ----

  /** Lists the spans of a peer's possible events that are missing. */
  @Benchmark
  public List<Span> missingByRanges() {
    List<Span> missing = new ArrayList<>();
    for (long writer = 1; writer <= WRITERS; writer++) {
      ranges.missing(new Span(writer, 1, EVENTS / WRITERS), missing);
    }
    return missing;
  }

  /** Lists the events that are missing, with a look-up for each name. */
  @Benchmark
  public List<Name> missingByNames() {
    List<Name> missing = new ArrayList<>();
    for (long writer = 1; writer <= WRITERS; writer++) {
      for (long sequence = 1; sequence <= EVENTS / WRITERS; sequence++) {
        Name name = new Name(writer, sequence);
        if (!names.contains(name)) {
          missing.add(name);
        }
      }
    }
    return missing;
  }

  /** Lists the events that are missing, from the gaps between sorted numbers. */
  @Benchmark
  public List<Name> missingByNumbers() {
    List<Name> missing = new ArrayList<>();
    for (long writer = 1; writer <= WRITERS; writer++) {
      long next = 1;
      for (long sequence : numbers.get(writer).headSet((long) EVENTS / WRITERS, true)) {
        for (; next < sequence; next++) {
          missing.add(new Name(writer, next));
        }
        next = sequence + 1;
      }
    }
    return missing;
  }

  // ---- storing the events ----

  /** Adds all events to a journal. */
  @Benchmark
  @OperationsPerInvocation(EVENTS)
  public Journal journal() {
    Journal journal = new Journal(List.of("gateway-1"));
    for (Entry event : events) {
      journal.put(event);
    }
    return journal;
  }

  /** Adds all events to a map by name and to a sorted set. */
  @Benchmark
  @OperationsPerInvocation(EVENTS)
  public Object plainMapAndOrder() {
    Map<Name, Entry> byName = new HashMap<>();
    TreeSet<Entry> inOrder = new TreeSet<>(Entry.ORDER);
    for (Entry event : events) {
      if (byName.putIfAbsent(new Name(event.incarnation(), event.sequence()), event) == null) {
        inOrder.add(event);
      }
    }
    return List.of(byName, inOrder);
  }
}
