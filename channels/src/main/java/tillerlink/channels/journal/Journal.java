package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.channels.cue.CueProjection;
import tillerlink.cluster.Invariant;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.messages.channels.Span;

/**
 * The set of events held, and their order: step by step as agreed, within a step and after the last
 * one by stamp. What is read of it is a function of the set and the steps alone.
 */
public final class Journal {
  /** Further ones are not taken until earlier ones are compacted. */
  private static final int CUTS_AHEAD = 100_000;

  private final TreeMap<Long, TreeMap<Long, Entry>> entries = new TreeMap<>();
  private final EventSet held = new EventSet();
  private final EventSet placed = new EventSet();
  private final EventSet extra = new EventSet();
  private final TreeSet<Entry> tail = new TreeSet<>(Entry.ORDER);
  private final TreeMap<String, ChannelLog> logs = new TreeMap<>();
  private final TreeMap<Long, Cut> cuts = new TreeMap<>();
  private final TreeMap<Long, Long> digests = new TreeMap<>();
  private EventSet compacted = new EventSet();
  private List<String> baseVoters;
  private long baseUpTo;
  private long baseDigest;
  private long base;
  private long applied;
  private long decided;
  private long upTo;
  private long digest;
  private long bytes;
  private List<String> voters;

  /**
   * @param founders the gateways that agree on the first step
   */
  public Journal(List<String> founders) {
    voters = List.copyOf(founders);
    baseVoters = voters;
  }

  // ---- events ----

  /**
   * @return false if it is held already, or was and is compacted
   */
  public boolean put(Entry entry) {
    if (held.has(entry.incarnation(), entry.sequence())) {
      Invariant.holds(sameAsHeld(entry), () -> "two events are called " + entry.dot().text());
      return false;
    }
    TreeMap<Long, Entry> of = entries.computeIfAbsent(entry.incarnation(), any -> new TreeMap<>());
    of.put(entry.sequence(), entry);
    held.add(entry.incarnation(), entry.sequence());
    extra.add(entry.incarnation(), entry.sequence());
    tail.add(entry);
    log(entry.channel()).put(entry);
    bytes += entry.weight();
    return true;
  }

  /** Whether an event of this name is held that says otherwise. */
  public boolean sameAsHeld(Entry entry) {
    Entry here = entry(entry.incarnation(), entry.sequence());
    return here == null || here.equals(entry);
  }

  public Entry entry(long incarnation, long sequence) {
    TreeMap<Long, Entry> of = entries.get(incarnation);
    return of == null ? null : of.get(sequence);
  }

  /** Those of a span that are held and not compacted. */
  public Collection<Entry> entries(Span span) {
    TreeMap<Long, Entry> of = entries.get(span.incarnation());
    return of == null ? List.of() : of.subMap(span.from(), true, span.to(), true).values();
  }

  private ChannelLog log(String channel) {
    return logs.computeIfAbsent(
        channel, name -> new ChannelLog(name, new CueProjection(), new CueProjection()));
  }

  // ---- the agreed line ----

  /**
   * @return false if the step is known, or steps between are not
   */
  public boolean learn(Cut cut) {
    if (cut.slot() != decided + 1 || decided - base > CUTS_AHEAD) {
      Cut known = cuts.get(cut.slot());
      Invariant.holds(
          known == null || known.equals(cut), () -> "two steps are number " + cut.slot());
      return false;
    }
    cuts.put(cut.slot(), cut);
    decided = cut.slot();
    return true;
  }

  /** Puts in place all that is agreed on and held. @return how many steps */
  public int apply() {
    int steps = 0;
    for (Cut next = cuts.get(applied + 1);
        next != null && isHeld(next);
        next = cuts.get(applied + 1)) {
      apply(next);
      steps++;
    }
    return steps;
  }

  public boolean isHeld(Cut cut) {
    for (Span span : cut.spans()) {
      if (!held.hasAll(span)) {
        return false;
      }
    }
    return true;
  }

  /** Whether a step may come next: nothing of it is in place, its bound does not fall. */
  public boolean isNext(Cut cut) {
    List<Span> fresh = new ArrayList<>();
    long size = 0;
    for (Span span : cut.spans()) {
      placed.missing(span, fresh);
      size += span.size();
    }
    long missing = fresh.stream().mapToLong(Span::size).sum();
    return cut.slot() == applied + 1 && missing == size && cut.upTo() >= upTo;
  }

  private void apply(Cut cut) {
    Invariant.holds(isNext(cut), () -> "step " + cut.slot() + " does not follow " + applied);
    List<Entry> now = new ArrayList<>();
    for (Span span : cut.spans()) {
      now.addAll(entries(span));
      placed.add(span);
      extra.remove(span);
    }
    now.sort(Entry.ORDER);
    for (Entry entry : now) {
      tail.remove(entry);
      log(entry.channel()).place(entry, cut.slot(), upTo);
      digest = EntryCodec.mix(digest * 31 + entry.incarnation() * 7 + entry.sequence());
    }
    digest = EntryCodec.mix(digest * 31 + cut.slot() + cut.upTo());
    applied = cut.slot();
    upTo = cut.upTo();
    voters = cut.voters();
    digests.put(applied, digest);
    Invariant.holds(
        held.size() == placed.size() + extra.size(), () -> "the vectors do not cover what is held");
  }

  /** The digest of all stable events up to a step; null if it is not known any more, or not yet. */
  public Long digest(long slot) {
    return slot == base ? Long.valueOf(baseDigest) : digests.get(slot);
  }

  // ---- the sum ----

  /** Puts all up to a step into the sum. @return the events that went */
  public List<Entry> compact(long slot) {
    List<Entry> gone = new ArrayList<>();
    for (long next = base + 1; next <= Math.min(slot, applied); next++) {
      Cut cut = cuts.remove(next);
      for (Span span : cut.spans()) {
        compacted.add(span);
        for (Entry entry : List.copyOf(entries(span))) {
          entries.get(span.incarnation()).remove(entry.sequence());
          bytes -= entry.weight();
          gone.add(entry);
        }
      }
      base = next;
      baseUpTo = cut.upTo();
      baseVoters = cut.voters();
      baseDigest = digests.remove(next);
    }
    entries.values().removeIf(TreeMap::isEmpty);
    for (ChannelLog log : logs.values()) {
      log.compact(log.upTo(base));
    }
    return gone;
  }

  /** The sum of all that is compacted. */
  public CompactedState sum() {
    Map<String, CueProjection> books = new TreeMap<>();
    logs.forEach(
        (name, log) -> {
          if (log.base().count() > 0) {
            books.put(name, log.base());
          }
        });
    return new CompactedState(base, baseUpTo, baseDigest, baseVoters, compacted.spans(), books);
  }

  /**
   * Starts from a sum; events that are not in it are put again afterwards.
   *
   * @param again the same sum read a second time, for what comes on top of it
   * @return the events that were held and are not in the sum, in their order
   */
  public List<Entry> startFrom(CompactedState sum, CompactedState again) {
    Invariant.holds(sum.slot() >= base, () -> "a sum that is older than the own one");
    EventSet in = new EventSet();
    sum.spans().forEach(in::add);
    List<Entry> rest = new ArrayList<>();
    entries
        .values()
        .forEach(
            of ->
                of.values()
                    .forEach(
                        entry -> {
                          if (!in.has(entry.incarnation(), entry.sequence())) {
                            rest.add(entry);
                          }
                        }));
    rest.sort(Entry.ORDER);
    entries.clear();
    tail.clear();
    logs.clear();
    digests.clear();
    clear(held);
    clear(placed);
    clear(extra);
    bytes = 0;
    compacted = in;
    sum.spans()
        .forEach(
            span -> {
              held.add(span);
              placed.add(span);
            });
    sum.books()
        .forEach(
            (name, book) -> logs.put(name, new ChannelLog(name, book, again.books().get(name))));
    base = sum.slot();
    applied = base;
    upTo = sum.upTo();
    digest = sum.digest();
    voters = sum.voters();
    baseUpTo = upTo;
    baseDigest = digest;
    baseVoters = voters;
    cuts.headMap(base, true).clear();
    decided = cuts.isEmpty() ? base : cuts.lastKey();
    if (!cuts.isEmpty() && cuts.firstKey() != base + 1) {
      cuts.clear();
      decided = base;
    }
    return rest;
  }

  private static void clear(EventSet holdings) {
    holdings.spans().forEach(holdings::remove);
  }

  // ---- what is read ----

  public EventSet held() {
    return held;
  }

  public EventSet placed() {
    return placed;
  }

  /** What is held and not in its final place. */
  public EventSet extra() {
    return extra;
  }

  public TreeSet<Entry> tail() {
    return tail;
  }

  /** Channels by name. */
  public NavigableMap<String, ChannelLog> logs() {
    return Collections.unmodifiableNavigableMap(logs);
  }

  public NavigableMap<Long, Cut> cuts() {
    return Collections.unmodifiableNavigableMap(cuts);
  }

  public long base() {
    return base;
  }

  /** The step up to which all is in place. */
  public long applied() {
    return applied;
  }

  /** The last step that is known. */
  public long decided() {
    return decided;
  }

  public long upTo() {
    return upTo;
  }

  public long digest() {
    return digest;
  }

  /** About what the events take in memory, in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Those who agree on the step after the last that is known. */
  public List<String> voters() {
    return decided == applied ? voters : cuts.get(decided).voters();
  }
}
