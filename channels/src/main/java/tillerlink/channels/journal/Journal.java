package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SortedSet;
import java.util.TreeMap;
import tillerlink.channels.cue.CueProjection;
import tillerlink.cluster.Invariant;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.messages.channels.Span;

/**
 * The events that are held, and their order: cut by cut as decided, within a cut and after the last
 * one by stamp. What is read of it is a function of the set of events and of the cuts alone. No
 * I/O; used by the gateway's event loop only.
 */
public final class Journal {
  /** Decided cuts beyond this are not taken until earlier ones are compacted. */
  private static final int MAX_CUTS = 100_000;

  private static final long DIGEST_FACTOR = 31;
  private static final long DIGEST_INCARNATION_FACTOR = 7;

  /** The end of what is compacted. */
  private record Base(long slot, long upTo, long digest, List<String> voters) {}

  private final EventStore events = new EventStore();
  private final TreeMap<String, ChannelLog> logs = new TreeMap<>();
  private final TreeMap<Long, Cut> cuts = new TreeMap<>();
  private final TreeMap<Long, Long> digests = new TreeMap<>();
  private EventSet compacted = new EventSet();
  private Base base;
  private long applied;
  private long decided;
  private long upTo;
  private long digest;
  private List<String> voters;

  /**
   * Makes an empty journal.
   *
   * @param founders the gateways that decide on the first slot
   */
  public Journal(List<String> founders) {
    voters = List.copyOf(founders);
    base = new Base(0, 0, 0, voters);
  }

  // ---- events ----

  /**
   * Adds a provisional event.
   *
   * @return false if it is held already, or was and is compacted
   */
  public boolean put(Entry entry) {
    if (!events.put(entry)) {
      return false;
    }
    log(entry.channel()).put(entry);
    return true;
  }

  /** Whether no other event is held in memory under the name of this one. */
  public boolean sameAsHeld(Entry entry) {
    return events.sameAsHeld(entry);
  }

  /** Returns an event; null if it is not held, or is compacted. */
  public Entry entry(long incarnation, long sequence) {
    return events.entry(incarnation, sequence);
  }

  /** Returns the events of a span that are held and not compacted; a live view. */
  public Collection<Entry> entries(Span span) {
    return events.entries(span);
  }

  private ChannelLog log(String channel) {
    return logs.computeIfAbsent(
        channel, name -> new ChannelLog(name, new CueProjection(), new CueProjection()));
  }

  // ---- decided cuts ----

  /**
   * Takes a decided cut.
   *
   * @return false if it is known, or is not the next one
   */
  public boolean learn(Cut cut) {
    if (cut.slot() != decided + 1 || decided - base.slot > MAX_CUTS) {
      Cut known = cuts.get(cut.slot());
      Invariant.holds(
          known == null || known.equals(cut), () -> "two steps are number " + cut.slot());
      return false;
    }
    cuts.put(cut.slot(), cut);
    decided = cut.slot();
    return true;
  }

  /** Applies the decided cuts whose events are all held, up to the first whose are not. */
  public void apply() {
    Cut next = cuts.get(applied + 1);
    while (next != null && isHeld(next)) {
      apply(next);
      next = cuts.get(applied + 1);
    }
  }

  /** Whether all events of a cut are held. */
  public boolean isHeld(Cut cut) {
    for (Span span : cut.spans()) {
      if (!events.held().hasAll(span)) {
        return false;
      }
    }
    return true;
  }

  /** Whether a cut may come next: none of its events is stable, and its bound does not fall. */
  public boolean isNext(Cut cut) {
    List<Span> provisional = new ArrayList<>();
    long size = 0;
    for (Span span : cut.spans()) {
      events.stable().missing(span, provisional);
      size += span.size();
    }
    long provisionalSize = provisional.stream().mapToLong(Span::size).sum();
    return cut.slot() == applied + 1 && provisionalSize == size && cut.upTo() >= upTo;
  }

  private void apply(Cut cut) {
    Invariant.holds(isNext(cut), () -> "step " + cut.slot() + " does not follow " + applied);
    List<Entry> ordered = new ArrayList<>();
    for (Span span : cut.spans()) {
      ordered.addAll(events.makeStable(span));
    }
    ordered.sort(Entry.ORDER);
    for (Entry entry : ordered) {
      events.removeFromTail(entry);
      log(entry.channel()).makeStable(entry, cut.slot(), upTo);
      digest =
          EntryCodec.mix(
              digest * DIGEST_FACTOR
                  + entry.incarnation() * DIGEST_INCARNATION_FACTOR
                  + entry.sequence());
    }
    digest = EntryCodec.mix(digest * DIGEST_FACTOR + cut.slot() + cut.upTo());
    applied = cut.slot();
    upTo = cut.upTo();
    voters = cut.voters();
    digests.put(applied, digest);
    events.checkCovered();
  }

  /** Returns the digest of all stable events up to a slot; null if it is not known. */
  public Long digest(long slot) {
    return slot == base.slot ? Long.valueOf(base.digest) : digests.get(slot);
  }

  // ---- compaction ----

  /**
   * Compacts the log up to a slot, or to the last applied one.
   *
   * @return the events that were removed
   */
  public List<Entry> compact(long slot) {
    List<Entry> removed = new ArrayList<>();
    long last = Math.min(slot, applied);
    for (long next = base.slot + 1; next <= last; next++) {
      Cut cut = cuts.remove(next);
      for (Span span : cut.spans()) {
        compacted.add(span);
        events.compact(span, removed);
      }
      base = new Base(next, cut.upTo(), digests.remove(next), cut.voters());
    }
    events.trim();
    for (ChannelLog log : logs.values()) {
      log.compact(log.upTo(base.slot));
    }
    return removed;
  }

  /** Returns the state of all that is compacted. */
  public CompactedState sum() {
    Map<String, CueProjection> books = new TreeMap<>();
    logs.forEach(
        (name, log) -> {
          if (log.base().count() > 0) {
            books.put(name, log.base());
          }
        });
    return new CompactedState(
        base.slot, base.upTo, base.digest, base.voters, compacted.spans(), books);
  }

  /**
   * Starts from compacted state; events that are not in it are to be put again afterwards.
   *
   * @param state becomes the base
   * @param copy the same state read a second time, for the events that follow it
   * @return the events that were held and are not in the state, in their order
   */
  public List<Entry> startFrom(CompactedState state, CompactedState copy) {
    Invariant.holds(state.slot() >= base.slot, () -> "a sum that is older than the own one");
    EventSet covered = new EventSet();
    state.spans().forEach(covered::add);
    List<Entry> rest = events.without(covered);
    events.restart(state.spans());
    logs.clear();
    state
        .books()
        .forEach(
            (name, book) -> logs.put(name, new ChannelLog(name, book, copy.books().get(name))));
    digests.clear();
    compacted = covered;
    base = new Base(state.slot(), state.upTo(), state.digest(), state.voters());
    applied = base.slot;
    upTo = base.upTo;
    digest = base.digest;
    voters = base.voters;
    keepCutsAfterBase();
    return rest;
  }

  private void keepCutsAfterBase() {
    cuts.headMap(base.slot, true).clear();
    if (!cuts.isEmpty() && cuts.firstKey() != base.slot + 1) {
      cuts.clear();
    }
    decided = cuts.isEmpty() ? base.slot : cuts.lastKey();
  }

  // ---- reading ----

  /** Returns the events that are held, compacted ones included. */
  public EventSet held() {
    return events.held();
  }

  /** Returns the stable events, compacted ones included. */
  public EventSet stable() {
    return events.stable();
  }

  /** Returns the events that are held and provisional. */
  public EventSet provisional() {
    return events.provisional();
  }

  /** Returns the provisional events, in the order of their stamps; a live view. */
  public SortedSet<Entry> tail() {
    return Collections.unmodifiableSortedSet(events.tail());
  }

  /** Returns the logs of the channels, by name; a live view. */
  public NavigableMap<String, ChannelLog> logs() {
    return Collections.unmodifiableNavigableMap(logs);
  }

  /** Returns the decided cuts that are not compacted, by slot; a live view. */
  public NavigableMap<Long, Cut> cuts() {
    return Collections.unmodifiableNavigableMap(cuts);
  }

  /** Returns the slot up to which the log is compacted. */
  public long base() {
    return base.slot;
  }

  /** Returns the slot up to which all cuts are applied. */
  public long applied() {
    return applied;
  }

  /** Returns the last slot whose cut is known. */
  public long decided() {
    return decided;
  }

  /** Returns the upper bound of the last applied cut, a stamp of the hybrid logical clock. */
  public long upTo() {
    return upTo;
  }

  /** Returns the digest of all stable events. */
  public long digest() {
    return digest;
  }

  /** Returns about the bytes that the events take in memory. */
  public long bytes() {
    return events.bytes();
  }

  /** Returns the gateways that decide on the slot after the last that is known. */
  public List<String> voters() {
    return decided == applied ? voters : cuts.get(decided).voters();
  }
}
